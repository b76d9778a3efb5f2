//! h2 server for calls and sessions.

use {
    super::{
        codec::encode,
        counted_socket::with_byte_counter,
        frame_pump::{SessionChannels, run_session},
        frame_stream::{FrameReader, StreamError, send_all},
        h2_client::{
            CALL_PATH, CONNECTION_WINDOW_BYTES, MAX_STREAMS, SESSION_PATH, STREAM_WINDOW_BYTES,
        },
        liveness::until_caller_unresponsive,
    },
    crate::{
        adapters::{
            connections::{ServerConnections, TrackedConnection},
            socket::accept,
        },
        core::{
            connections::Stage,
            message::{HomeFrame, PeerReply, PeerRequest, RunnerFrame},
        },
        ports::Metrics,
    },
    async_trait::async_trait,
    bytes::Bytes,
    h2::{RecvStream, server::SendResponse},
    http::{Request, Response, StatusCode},
    std::{fmt::Debug, sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::mpsc,
        time::timeout,
    },
};

/// Both directions of an open session, on the runner's side.
#[derive(Debug)]
pub(crate) struct RunnerSession {
    /// Frames from the home. Ends when the session disconnects.
    pub(crate) incoming: mpsc::Receiver<HomeFrame>,
    /// Frames to the home. Dropping the sender closes the session.
    pub(crate) outgoing: mpsc::UnboundedSender<RunnerFrame>,
}

/// Handles the calls and sessions of peers.
#[async_trait]
pub(crate) trait PeerHandler: Debug + Send + Sync {
    async fn handle_call(&self, request: PeerRequest) -> PeerReply;

    /// Accepts a session; false if this process has no runner.
    fn accept_session(&self, session: RunnerSession) -> bool;
}

/// Time for a new connection to complete the handshake, in milliseconds.
const HANDSHAKE_TIMEOUT_MS: u64 = 5_000;
const MAX_BUFFERED_FRAMES: usize = 1_024;

/// Serves peers until the task is dropped.
pub(crate) async fn serve_peers(
    listener: TcpListener,
    handler: Arc<dyn PeerHandler>,
    connections: Arc<ServerConnections>,
    metrics: Arc<dyn Metrics>,
) {
    loop {
        let socket = accept(&listener, "accepting a peer connection failed").await;
        let Some(tracked) = connections.track().await else {
            continue;
        };
        let (handler, metrics) = (Arc::clone(&handler), Arc::clone(&metrics));
        tokio::spawn(serve_connection(socket, tracked, handler, metrics));
    }
}

async fn serve_connection(
    socket: TcpStream,
    tracked: Arc<TrackedConnection>,
    handler: Arc<dyn PeerHandler>,
    metrics: Arc<dyn Metrics>,
) {
    if socket.set_nodelay(true).is_err() {
        return;
    }
    let socket = with_byte_counter(socket, metrics);
    let received = socket.observer().received();
    let handshake = h2::server::Builder::new()
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_concurrent_streams(MAX_STREAMS)
        .handshake(socket);
    let handshake = timeout(Duration::from_millis(HANDSHAKE_TIMEOUT_MS), handshake);
    let mut connection = tokio::select! {
        handshake = handshake => match handshake {
            Ok(Ok(connection)) if tracked.enter(Stage::Handling) => connection,
            _ => return,
        },
        () = tracked.close_order() => return,
    };
    let Some(pings) = connection.ping_pong() else {
        return;
    };
    let accept = async {
        while let Some(Ok((request, respond))) = connection.accept().await {
            tokio::spawn(serve_stream(request, respond, Arc::clone(&handler)));
        }
    };
    tokio::select! {
        () = accept => {}
        _ = until_caller_unresponsive(pings, &received) => {}
    }
}

async fn serve_stream(
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    handler: Arc<dyn PeerHandler>,
) {
    // If the stream failed, the error cannot be reported to the peer.
    let _ = match request.uri().path() {
        CALL_PATH => serve_call(request.into_body(), respond, handler).await,
        SESSION_PATH => serve_session(request.into_body(), respond, handler).await,
        _ => respond
            .send_response(status(StatusCode::NOT_FOUND), true)
            .map(|_| ())
            .map_err(StreamError::from),
    };
}

fn status(code: StatusCode) -> Response<()> {
    let mut response = Response::new(());
    *response.status_mut() = code;
    response
}

async fn serve_call(
    body: RecvStream,
    mut respond: SendResponse<Bytes>,
    handler: Arc<dyn PeerHandler>,
) -> Result<(), StreamError> {
    let request: PeerRequest = FrameReader::new(body).next().await?;
    let reply = handler.handle_call(request).await;
    let mut stream = respond.send_response(status(StatusCode::OK), false)?;
    send_all(&mut stream, encode(&reply)?, true).await
}

async fn serve_session(
    body: RecvStream,
    mut respond: SendResponse<Bytes>,
    handler: Arc<dyn PeerHandler>,
) -> Result<(), StreamError> {
    let (received, incoming) = mpsc::channel(MAX_BUFFERED_FRAMES);
    let (outgoing, frames) = mpsc::unbounded_channel();
    if !handler.accept_session(RunnerSession { incoming, outgoing }) {
        respond.send_response(status(StatusCode::NOT_FOUND), true)?;
        return Ok(());
    }
    let stream = respond.send_response(status(StatusCode::OK), false)?;
    let channels = SessionChannels {
        outgoing: frames,
        received,
    };
    run_session(body, stream, channels).await
}
