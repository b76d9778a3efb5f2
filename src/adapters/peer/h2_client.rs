//! The calling side: one connection for each address.

use {
    super::{
        codec::{encode, encode_into},
        counted_socket::CountedSocket,
        frame_stream::{FrameReader, send_all},
        liveness::until_silent,
    },
    crate::{
        core::{
            message::{HomeFrame, PeerReply, PeerRequest, RunnerFrame},
            ticket::AgentId,
        },
        ports::{Counter, Metrics, PeerError, PeerNetwork, SessionIo},
    },
    async_trait::async_trait,
    bytes::{Bytes, BytesMut},
    h2::{RecvStream, SendStream, client::SendRequest},
    http::Request,
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        net::TcpStream,
        sync::{Mutex, mpsc},
        time::timeout,
    },
};

/// Path of calls.
pub(crate) const CALL_PATH: &str = "/call";
/// Path of sessions.
pub(crate) const SESSION_PATH: &str = "/session";
/// Most bytes under way on one stream.
pub(crate) const STREAM_WINDOW_BYTES: u32 = 4 << 20;
/// Most bytes under way on one connection.
pub(crate) const CONNECTION_WINDOW_BYTES: u32 = 64 << 20;
/// Most streams open on one connection.
pub(crate) const MAX_STREAMS: u32 = 100_000;
/// Time to connect, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 500;
/// Frames held for a slow reader of a session.
const SESSION_BUFFER_FRAMES: usize = 1_024;

type Slot = Arc<Mutex<Option<SendRequest<Bytes>>>>;

/// Peers over h2.
#[derive(Debug)]
pub(crate) struct H2Client {
    connections: Mutex<BTreeMap<SocketAddr, Slot>>,
    metrics: Arc<dyn Metrics>,
}

impl H2Client {
    /// A client without connections.
    pub(crate) fn new(metrics: Arc<dyn Metrics>) -> Self {
        Self {
            connections: Mutex::new(BTreeMap::new()),
            metrics,
        }
    }

    /// The connection to an address, opened if there is none that works.
    async fn connection(&self, to: SocketAddr) -> Result<SendRequest<Bytes>, PeerError> {
        let slot = Arc::clone(self.connections.lock().await.entry(to).or_default());
        let mut slot = slot.lock().await;
        if let Some(sender) = slot.as_ref()
            && let Ok(ready) = sender.clone().ready().await
        {
            return Ok(ready);
        }
        *slot = None;
        let sender = self.connect(to).await?;
        let ready = sender
            .ready()
            .await
            .map_err(|error| PeerError::Unreachable(error.to_string()))?;
        *slot = Some(ready.clone());
        Ok(ready)
    }

    async fn connect(&self, to: SocketAddr) -> Result<SendRequest<Bytes>, PeerError> {
        let connecting = async {
            let socket = TcpStream::connect(to)
                .await
                .map_err(|error| error.to_string())?;
            socket
                .set_nodelay(true)
                .map_err(|error| error.to_string())?;
            h2::client::Builder::new()
                .initial_window_size(STREAM_WINDOW_BYTES)
                .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
                .handshake(CountedSocket::new(socket, Arc::clone(&self.metrics)))
                .await
                .map_err(|error| error.to_string())
        };
        let (sender, mut connection) =
            timeout(Duration::from_millis(CONNECT_TIMEOUT_MS), connecting)
                .await
                .map_err(|_| PeerError::Unreachable("connect timed out".to_owned()))?
                .map_err(PeerError::Unreachable)?;
        let pings = connection.ping_pong();
        let metrics = Arc::clone(&self.metrics);
        tokio::spawn(async move {
            let Some(pings) = pings else {
                return;
            };
            // Dropping the connection fails every stream on it.
            let cause = tokio::select! {
                _ = connection => "closed",
                cause = until_silent(pings) => cause,
            };
            metrics.count(Counter::PeerLosses, cause);
        });
        Ok(sender)
    }

    async fn open_stream(
        &self,
        to: SocketAddr,
        path: &str,
    ) -> Result<(h2::client::ResponseFuture, SendStream<Bytes>), PeerError> {
        let request = Request::post(format!("http://{to}{path}"))
            .body(())
            .map_err(|error| PeerError::Unreachable(error.to_string()))?;
        let mut connection = self.connection(to).await?;
        connection
            .send_request(request, false)
            .map_err(|error| PeerError::Unreachable(error.to_string()))
    }
}

fn lost(error: impl ToString) -> PeerError {
    PeerError::Lost(error.to_string())
}

#[async_trait]
impl PeerNetwork for H2Client {
    async fn call(&self, to: SocketAddr, request: PeerRequest) -> Result<PeerReply, PeerError> {
        let body = encode(&request).map_err(|error| PeerError::Unreachable(error.to_string()))?;
        let (response, mut stream) = self.open_stream(to, CALL_PATH).await?;
        send_all(&mut stream, body, true).await.map_err(lost)?;
        let response = response.await.map_err(lost)?;
        let mut reader = FrameReader::new(response.into_body());
        reader.next().await.map_err(lost)
    }

    async fn open_session(
        &self,
        to: SocketAddr,
        home: AgentId,
        epoch: u64,
    ) -> Result<SessionIo, PeerError> {
        let hello = encode(&HomeFrame::Hello { home, epoch })
            .map_err(|error| PeerError::Unreachable(error.to_string()))?;
        let (response, mut stream) = self.open_stream(to, SESSION_PATH).await?;
        send_all(&mut stream, hello, false).await.map_err(lost)?;
        let response = response.await.map_err(lost)?;
        let (outgoing, frames) = mpsc::unbounded_channel();
        let (sender, incoming) = mpsc::channel(SESSION_BUFFER_FRAMES);
        tokio::spawn(write_frames(stream, frames));
        tokio::spawn(read_frames(response.into_body(), sender));
        Ok(SessionIo { outgoing, incoming })
    }
}

/// Writes frames until the session is dropped; frames that wait are sent together.
async fn write_frames(
    mut stream: SendStream<Bytes>,
    mut frames: mpsc::UnboundedReceiver<HomeFrame>,
) {
    while let Some(frame) = frames.recv().await {
        let mut buffer = BytesMut::new();
        let mut next = Some(frame);
        while let Some(frame) = next {
            if encode_into(&mut buffer, &frame).is_err() {
                return;
            }
            next = frames.try_recv().ok();
        }
        if send_all(&mut stream, buffer.freeze(), false).await.is_err() {
            return;
        }
    }
}

async fn read_frames(stream: RecvStream, frames: mpsc::Sender<RunnerFrame>) {
    let mut reader = FrameReader::new(stream);
    while let Ok(frame) = reader.next().await {
        if frames.send(frame).await.is_err() {
            return;
        }
    }
}
