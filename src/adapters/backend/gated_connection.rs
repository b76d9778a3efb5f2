//! Connection to the backend server that writes a request only under a valid permit.

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

/// No request is pending; the last one has been written at least partly.
const WRITTEN: u8 = 0;
/// None of the current request has been written.
const PENDING: u8 = 1;
/// The pending request was refused; none of it will be written.
const REFUSED: u8 = 2;

/// Checks the permit immediately before the first bytes of a request are written.
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

    /// Marks the next request as pending.
    fn arm(&self) {
        self.state.store(PENDING, Ordering::SeqCst);
    }

    /// Prevents the request from being written; false if some of it has been.
    pub(super) fn refuse(&self) -> bool {
        let swapped =
            self.state
                .compare_exchange(PENDING, REFUSED, Ordering::SeqCst, Ordering::SeqCst);
        swapped.is_ok() || swapped == Err(REFUSED)
    }

    /// Whether the permit is no longer valid.
    pub(super) fn is_permit_expired(&self) -> bool {
        !self.permit.is_valid(self.timer.now())
    }

    /// Checks the permit right before the system call that writes: the process may have been suspended
    /// after it accepted the start and resumed after its permit expired and its zone was evacuated.
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

/// An open connection that sends one request at a time.
#[derive(Debug)]
pub(super) struct GatedConnection {
    sender: http1::SendRequest<Full<Bytes>>,
    gate: Arc<WriteGate>,
}

impl GatedConnection {
    pub(super) async fn open(addr: SocketAddr, gate: WriteGate) -> io::Result<Self> {
        let socket = TcpStream::connect(addr).await?;
        socket.set_nodelay(true)?;
        let gate = Arc::new(gate);
        let stream = TokioIo::new(ObservedSocket::new(socket, Arc::clone(&gate)));
        let (sender, connection) = http1::handshake(stream).await.map_err(io::Error::other)?;
        // A connection error also fails the current or the next request.
        tokio::spawn(async move { connection.await.ok() });
        Ok(Self { sender, gate })
    }

    /// Waits until another request can be sent; false if the connection is closed.
    pub(super) async fn is_usable(&mut self) -> bool {
        !self.sender.is_closed() && self.sender.ready().await.is_ok()
    }

    pub(super) fn gate(&self) -> Arc<WriteGate> {
        Arc::clone(&self.gate)
    }

    /// Sends a request; fails if the permit is not valid when its bytes are written.
    pub(super) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> hyper::Result<Response<Incoming>> {
        self.gate.arm();
        self.sender.send_request(request).await
    }
}
