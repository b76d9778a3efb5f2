//! h2 client with one connection per address.

use {
    super::{
        activity::{ConnectionActivity, OpenStreamGuard},
        awaited_tasks::AwaitedTasks,
        codec::{encode, encode_into},
        counted_socket::with_byte_counter,
        frame_stream::{FrameReader, send_all},
        liveness::until_unresponsive,
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

pub(crate) const CALL_PATH: &str = "/call";
pub(crate) const SESSION_PATH: &str = "/session";
/// Flow-control window of a stream; half of it, after which the receiver sends a window update, must
/// take less than the pong timeout on a slow link.
pub(crate) const STREAM_WINDOW_BYTES: u32 = 1 << 20;
/// Flow-control window of a connection.
pub(crate) const CONNECTION_WINDOW_BYTES: u32 = 64 << 20;
pub(crate) const MAX_STREAMS: u32 = 100_000;
const CONNECT_TIMEOUT_MS: u64 = 500;
/// Time after which an idle session or connection is closed.
const IDLE_TIMEOUT_MS: u64 = 10_000;
const MAX_BUFFERED_FRAMES: usize = 1_024;

type Slot = Arc<Mutex<Option<Connection>>>;

/// An open connection.
#[derive(Debug, Clone)]
struct Connection {
    sender: SendRequest<Bytes>,
    activity: Arc<ConnectionActivity>,
}

/// A newly opened stream.
struct Stream {
    response: h2::client::ResponseFuture,
    body: SendStream<Bytes>,
    activity: Arc<ConnectionActivity>,
    open: OpenStreamGuard,
}

/// Calls peers over h2.
#[derive(Debug)]
pub(crate) struct H2Client {
    connections: Mutex<BTreeMap<SocketAddr, Slot>>,
    metrics: Arc<dyn Metrics>,
    idle_timeout: Duration,
}

impl H2Client {
    pub(crate) fn new(metrics: Arc<dyn Metrics>) -> Self {
        Self::with_idle_timeout(metrics, Duration::from_millis(IDLE_TIMEOUT_MS))
    }

    /// Creates a client that closes sessions and connections after `idle_timeout`.
    pub(super) fn with_idle_timeout(metrics: Arc<dyn Metrics>, idle_timeout: Duration) -> Self {
        Self {
            idle_timeout,
            connections: Mutex::new(BTreeMap::new()),
            metrics,
        }
    }

    /// Returns the connection to an address, or opens one if there is no usable one.
    async fn connection(&self, to: SocketAddr) -> Result<(Connection, OpenStreamGuard), PeerError> {
        let slot = Arc::clone(self.connections.lock().await.entry(to).or_default());
        let mut slot = slot.lock().await;
        if let Some(connection) = slot.clone()
            && let Some(open) = connection.activity.open_stream()
            && let Ok(connection) = connection.ready().await
        {
            return Ok((connection, open));
        }
        *slot = None;
        let connection = self
            .connect(to)
            .await?
            .ready()
            .await
            .map_err(|error| PeerError::Unreachable(error.to_string()))?;
        *slot = Some(connection.clone());
        let open = connection
            .activity
            .open_stream()
            .ok_or_else(|| PeerError::Unreachable("connection closed".to_owned()))?;
        Ok((connection, open))
    }

    async fn connect(&self, to: SocketAddr) -> Result<Connection, PeerError> {
        let connecting = async {
            let socket = TcpStream::connect(to)
                .await
                .map_err(|error| error.to_string())?;
            socket
                .set_nodelay(true)
                .map_err(|error| error.to_string())?;
            let socket = with_byte_counter(socket, Arc::clone(&self.metrics));
            let received = socket.observer().received();
            h2::client::Builder::new()
                .initial_window_size(STREAM_WINDOW_BYTES)
                .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
                .handshake(socket)
                .await
                .map(|(sender, connection)| (sender, connection, received))
                .map_err(|error| error.to_string())
        };
        let (sender, mut connection, received) =
            timeout(Duration::from_millis(CONNECT_TIMEOUT_MS), connecting)
                .await
                .map_err(|_| PeerError::Unreachable("connect timed out".to_owned()))?
                .map_err(PeerError::Unreachable)?;
        let pings = connection.ping_pong();
        let metrics = Arc::clone(&self.metrics);
        let activity = Arc::new(ConnectionActivity::new(self.idle_timeout));
        let watched = Arc::clone(&activity);
        tokio::spawn(async move {
            let Some(pings) = pings else {
                return;
            };
            // Dropping the connection fails every stream on it.
            let cause = tokio::select! {
                _ = connection => "closed",
                cause = until_unresponsive(pings, &watched, &received) => cause,
                () = watched.until_idle() => "unused",
            };
            metrics.count(Counter::PeerLosses, cause);
        });
        Ok(Connection { sender, activity })
    }

    async fn open_stream(&self, to: SocketAddr, path: &str) -> Result<Stream, PeerError> {
        let request = Request::post(format!("http://{to}{path}"))
            .body(())
            .map_err(|error| PeerError::Unreachable(error.to_string()))?;
        let (mut connection, open) = self.connection(to).await?;
        let (response, body) = connection
            .sender
            .send_request(request, false)
            .map_err(|error| PeerError::Unreachable(error.to_string()))?;
        Ok(Stream {
            response,
            body,
            activity: connection.activity,
            open,
        })
    }
}

impl Connection {
    /// Waits until the connection can open another stream.
    async fn ready(self) -> Result<Self, h2::Error> {
        Ok(Self {
            sender: self.sender.ready().await?,
            activity: self.activity,
        })
    }
}

fn outcome_unknown(error: impl ToString) -> PeerError {
    PeerError::OutcomeUnknown(error.to_string())
}

#[async_trait]
impl PeerNetwork for H2Client {
    async fn call(&self, to: SocketAddr, request: PeerRequest) -> Result<PeerReply, PeerError> {
        let body = encode(&request).map_err(|error| PeerError::Unreachable(error.to_string()))?;
        let mut stream = self.open_stream(to, CALL_PATH).await?;
        let _awaited = stream.activity.await_reply();
        send_all(&mut stream.body, body, true)
            .await
            .map_err(outcome_unknown)?;
        let response = stream.response.await.map_err(outcome_unknown)?;
        let mut reader = FrameReader::new(response.into_body());
        reader.next().await.map_err(outcome_unknown)
    }

    async fn open_session(
        &self,
        to: SocketAddr,
        home: AgentId,
        epoch: u64,
    ) -> Result<SessionIo, PeerError> {
        let hello = encode(&HomeFrame::Hello { home, epoch })
            .map_err(|error| PeerError::Unreachable(error.to_string()))?;
        let mut stream = self.open_stream(to, SESSION_PATH).await?;
        let awaited = Arc::new(AwaitedTasks::new(stream.activity, stream.open));
        send_all(&mut stream.body, hello, false)
            .await
            .map_err(outcome_unknown)?;
        let response = stream.response.await.map_err(outcome_unknown)?;
        let (outgoing, frames) = mpsc::unbounded_channel();
        let (sender, incoming) = mpsc::channel(MAX_BUFFERED_FRAMES);
        tokio::spawn(write_frames(stream.body, frames, Arc::clone(&awaited)));
        tokio::spawn(read_frames(response.into_body(), sender, awaited));
        Ok(SessionIo { outgoing, incoming })
    }
}

/// Writes frames in batches until the session is dropped or idle.
///
/// To the home an idle session looks disconnected; the home opens a new one when needed.
async fn write_frames(
    mut stream: SendStream<Bytes>,
    mut frames: mpsc::UnboundedReceiver<HomeFrame>,
    awaited: Arc<AwaitedTasks>,
) {
    loop {
        let mut next = match awaited.activity().within_idle_timeout(frames.recv()).await {
            Some(Some(frame)) => Some(frame),
            None if !awaited.is_empty() => continue,
            Some(None) | None => break,
        };
        let mut buffer = BytesMut::new();
        while let Some(frame) = next {
            awaited.record_sent(&frame);
            if encode_into(&mut buffer, &frame).is_err() {
                return;
            }
            next = frames.try_recv().ok();
        }
        if send_all(&mut stream, buffer.freeze(), false).await.is_err() {
            return;
        }
    }
    // Fails only if the stream is already broken.
    let _ = stream.send_data(Bytes::new(), true);
}

async fn read_frames(
    stream: RecvStream,
    frames: mpsc::Sender<RunnerFrame>,
    awaited: Arc<AwaitedTasks>,
) {
    let mut reader = FrameReader::new(stream);
    while let Ok(frame) = reader.next().await {
        awaited.record_received(&frame);
        if frames.send(frame).await.is_err() {
            return;
        }
    }
}
