//! Opens and accepts sessions.

use {
    super::{DialError, FrameDuplex},
    crate::{
        adapters::{
            connections::{ServerConnections, TrackedConnection},
            peer::{SessionChannels, run_session, with_byte_counter},
            socket::accept,
        },
        core::connections::Stage,
        ports::{Metrics, PeerError},
    },
    bytes::Bytes,
    h2::{RecvStream, SendStream},
    http::{Request, Response},
    serde::{Serialize, de::DeserializeOwned},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::mpsc,
        time::timeout,
    },
};

const LINK_PATH: &str = "/link";
/// Connect timeout, in milliseconds; shorter than the second after which TCP resends a lost SYN. A dial
/// that begins while the host is unavailable delays the next one by as much.
const CONNECT_TIMEOUT_MS: u64 = 100;
/// Time to connect and open a session, in milliseconds; an entry that has just started opens the
/// sessions of all its agents with a small share of a core.
const OPEN_TIMEOUT_MS: u64 = 500;
/// Flow-control window of a stream and of its connection.
const WINDOW_BYTES: u32 = 1 << 20;
const MAX_BUFFERED_FRAMES: usize = 256;

fn unreachable(error: impl ToString) -> PeerError {
    PeerError::Unreachable(error.to_string())
}

/// Opens a session with the process at this address.
pub(crate) async fn dial_link<In, Out>(
    to: SocketAddr,
    metrics: Arc<dyn Metrics>,
) -> Result<FrameDuplex<In, Out>, DialError>
where
    In: DeserializeOwned + Send + 'static,
    Out: Serialize + Send + 'static,
{
    let opening = open(to, metrics);
    timeout(Duration::from_millis(OPEN_TIMEOUT_MS), opening)
        .await
        .map_err(|_| DialError::NoResponse("timed out".to_owned()))?
}

async fn open<In, Out>(
    to: SocketAddr,
    metrics: Arc<dyn Metrics>,
) -> Result<FrameDuplex<In, Out>, DialError>
where
    In: DeserializeOwned + Send + 'static,
    Out: Serialize + Send + 'static,
{
    let socket = timeout(
        Duration::from_millis(CONNECT_TIMEOUT_MS),
        TcpStream::connect(to),
    )
    .await
    .map_err(|_| DialError::NoResponse("connect timed out".to_owned()))?
    .map_err(|error| DialError::connect(&error))?;
    socket.set_nodelay(true).map_err(DialError::refused)?;
    let (mut sender, connection) = h2::client::Builder::new()
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .handshake(with_byte_counter(socket, metrics))
        .await
        .map_err(DialError::refused)?;
    let request = Request::post(format!("http://{to}{LINK_PATH}"))
        .body(())
        .map_err(DialError::refused)?;
    let (response, body) = sender
        .send_request(request, false)
        .map_err(DialError::refused)?;
    let (duplex, channels) = duplex();
    let (opened, open) = tokio::sync::oneshot::channel();
    let session = async move {
        match response.await {
            Ok(response) => {
                // The caller may have timed out; the session then ends with its sender.
                let _ = opened.send(Ok(()));
                pump(response.into_body(), body, channels).await;
            }
            Err(error) => {
                let _ = opened.send(Err(error));
            }
        }
    };
    tokio::spawn(async move {
        // Dropping the connection closes the socket, even if the other side is unresponsive.
        tokio::select! {
            _ = connection => {}
            () = session => {}
        }
    });
    open.await
        .map_err(DialError::refused)?
        .map_err(DialError::refused)?;
    Ok(duplex)
}

/// Accepts sessions until the task is dropped.
pub(crate) async fn serve_links<In, Out>(
    listener: TcpListener,
    opened: mpsc::UnboundedSender<FrameDuplex<In, Out>>,
    connections: Arc<ServerConnections>,
    metrics: Arc<dyn Metrics>,
) where
    In: DeserializeOwned + Send + 'static,
    Out: Serialize + Send + 'static,
{
    loop {
        let socket = accept(&listener, "accepting a link connection failed").await;
        let Some(tracked) = connections.track().await else {
            continue;
        };
        let (opened, metrics) = (opened.clone(), Arc::clone(&metrics));
        tokio::spawn(serve_link(socket, tracked, opened, metrics));
    }
}

async fn serve_link<In, Out>(
    socket: TcpStream,
    tracked: Arc<TrackedConnection>,
    opened: mpsc::UnboundedSender<FrameDuplex<In, Out>>,
    metrics: Arc<dyn Metrics>,
) where
    In: DeserializeOwned + Send + 'static,
    Out: Serialize + Send + 'static,
{
    if let Err(error) = accept_link(socket, &tracked, opened, metrics).await {
        log::debug!(error:% = error; "opening a session failed");
    }
}

async fn accept_link<In, Out>(
    socket: TcpStream,
    tracked: &TrackedConnection,
    opened: mpsc::UnboundedSender<FrameDuplex<In, Out>>,
    metrics: Arc<dyn Metrics>,
) -> Result<(), PeerError>
where
    In: DeserializeOwned + Send + 'static,
    Out: Serialize + Send + 'static,
{
    socket.set_nodelay(true).map_err(unreachable)?;
    let handshake = h2::server::Builder::new()
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .handshake::<_, Bytes>(with_byte_counter(socket, metrics));
    let accepting = async {
        let mut connection = handshake.await.map_err(unreachable)?;
        let stream = connection.accept().await;
        let stream = stream.ok_or_else(|| unreachable("closed"))?;
        Ok((connection, stream.map_err(unreachable)?))
    };
    let (mut connection, (request, mut respond)) = tokio::select! {
        accepted = timeout(Duration::from_millis(OPEN_TIMEOUT_MS), accepting) => {
            accepted.map_err(|_| unreachable("timed out"))??
        }
        () = tracked.close_order() => return Err(unreachable("too many connections")),
    };
    if !tracked.enter(Stage::Handling) {
        return Err(unreachable("too many connections"));
    }
    let body = respond
        .send_response(Response::new(()), false)
        .map_err(unreachable)?;
    let (duplex, channels) = duplex();
    if opened.send(duplex).is_err() {
        return Ok(());
    }
    tokio::select! {
        // Drives the connection until it closes; a second stream is not accepted.
        _ = connection.accept() => {}
        () = pump(request.into_body(), body, channels) => {}
    }
    Ok(())
}

fn duplex<In, Out>() -> (FrameDuplex<In, Out>, SessionChannels<In, Out>) {
    let (outgoing, frames) = mpsc::unbounded_channel();
    let (received, incoming) = mpsc::channel(MAX_BUFFERED_FRAMES);
    let channels = SessionChannels {
        outgoing: frames,
        received,
    };
    (FrameDuplex { incoming, outgoing }, channels)
}

/// Moves frames both ways until either side ends.
async fn pump<In, Out>(
    stream: RecvStream,
    body: SendStream<Bytes>,
    channels: SessionChannels<In, Out>,
) where
    In: DeserializeOwned,
    Out: Serialize,
{
    if let Err(error) = run_session(stream, body, channels).await {
        log::debug!(error:% = error; "session failed");
    }
}
