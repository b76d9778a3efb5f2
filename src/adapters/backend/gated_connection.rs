//! A connection to the backend server on which no request is written without a permit.

use {
    crate::{
        adapters::socket::{ObservedSocket, SocketObserver},
        core::gate::SharedPermit,
        ports::TimerService,
    },
    bytes::Bytes,
    http::{Request, Response},
    http_body_util::Full,
    hyper::{body::Incoming, client::conn::http1},
    hyper_util::rt::TokioIo,
    std::{
        io,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU8, Ordering},
        },
    },
    tokio::net::TcpStream,
};

/// No request waits to be written, or its first bytes have been.
const WRITTEN: u8 = 0;
/// A request waits to be written.
const PENDING: u8 = 1;
/// The request that waited was refused: none of its bytes will be written.
const REFUSED: u8 = 2;

/// Looks at the permit when the first bytes of a request are about to be written.
#[derive(Debug)]
pub(super) struct WriteGate {
    permit: Arc<SharedPermit>,
    timer: Arc<dyn TimerService>,
    state: AtomicU8,
}

impl WriteGate {
    pub(super) fn new(permit: Arc<SharedPermit>, timer: Arc<dyn TimerService>) -> Self {
        Self {
            permit,
            timer,
            state: AtomicU8::new(WRITTEN),
        }
    }

    /// A request is about to be handed to the connection.
    fn arm(&self) {
        self.state.store(PENDING, Ordering::SeqCst);
    }

    /// Makes sure that the request is never written; false if some of it was.
    pub(super) fn refuse(&self) -> bool {
        let swapped =
            self.state
                .compare_exchange(PENDING, REFUSED, Ordering::SeqCst, Ordering::SeqCst);
        swapped.is_ok() || swapped == Err(REFUSED)
    }

    /// Whether the permit had ended when the request was about to be written.
    pub(super) fn is_permit_expired(&self) -> bool {
        !self.permit.is_valid(self.timer.now())
    }

    /// Guards against a process that was frozen after it took a start: the permit may have ended
    /// and the zone been taken out since. Only the system call itself comes after this check.
    fn authorize_write(&self) -> io::Result<()> {
        if self.state.load(Ordering::SeqCst) == WRITTEN {
            return Ok(());
        }
        let is_allowed = self.permit.is_valid(self.timer.now());
        let to = if is_allowed { WRITTEN } else { REFUSED };
        match self
            .state
            .compare_exchange(PENDING, to, Ordering::SeqCst, Ordering::SeqCst)
        {
            Ok(_) if is_allowed => Ok(()),
            Err(WRITTEN) => Ok(()),
            Ok(_) | Err(_) => Err(io::ErrorKind::PermissionDenied.into()),
        }
    }
}

impl SocketObserver for Arc<WriteGate> {
    fn before_write(&self) -> io::Result<()> {
        self.authorize_write()
    }
}

/// An open connection; one request at a time.
#[derive(Debug)]
pub(super) struct GatedConnection {
    sender: http1::SendRequest<Full<Bytes>>,
    gate: Arc<WriteGate>,
}

impl GatedConnection {
    /// Connects to the backend server.
    pub(super) async fn open(addr: SocketAddr, gate: WriteGate) -> io::Result<Self> {
        let socket = TcpStream::connect(addr).await?;
        socket.set_nodelay(true)?;
        let gate = Arc::new(gate);
        let stream = TokioIo::new(ObservedSocket::new(socket, Arc::clone(&gate)));
        let (sender, connection) = http1::handshake(stream).await.map_err(io::Error::other)?;
        // Its end shows in the request that is under way, or when the next one is tried.
        tokio::spawn(async move { connection.await.ok() });
        Ok(Self { sender, gate })
    }

    /// Waits until another request can be sent; false if the connection is gone.
    pub(super) async fn is_usable(&mut self) -> bool {
        !self.sender.is_closed() && self.sender.ready().await.is_ok()
    }

    /// What guards the request under way.
    pub(super) fn gate(&self) -> Arc<WriteGate> {
        Arc::clone(&self.gate)
    }

    /// Sends a request if there is a permit when its bytes are written.
    pub(super) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> hyper::Result<Response<Incoming>> {
        self.gate.arm();
        self.sender.send_request(request).await
    }
}
