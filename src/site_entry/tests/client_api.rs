//! Tests of clients' requests to an entry that has just started.

use {
    super::fakes::{NoopDecisionLog, NoopMetrics},
    crate::{
        adapters::http::serve_http,
        core::{
            dispatch::{JobOutcome, RefusalReason, Submission},
            document::Document,
        },
        platform::parse_config,
        site_entry::{client_api::ClientApi, dispatch_loop::LoopInput, state::EntryState},
    },
    std::{
        net::SocketAddr,
        sync::{Arc, atomic::AtomicU64},
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        sync::{mpsc, oneshot, watch},
        time::{Instant, sleep},
    },
};

/// Time that a client waits for a response, in milliseconds.
const CLIENT_WAIT_MS: u64 = 1_500;

/// An entry without a configuration whose dispatcher is replaced by a channel.
struct Entry {
    addr: SocketAddr,
    state: Arc<EntryState>,
    inputs: mpsc::UnboundedReceiver<LoopInput>,
    _stop: watch::Sender<bool>,
}

impl Entry {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
        let addr = listener.local_addr().expect("address");
        let state = Arc::new(EntryState::default());
        let (inputs, receiver) = mpsc::unbounded_channel();
        let (stop, stopped) = watch::channel(false);
        let api = ClientApi {
            state: Arc::clone(&state),
            inputs,
            metrics: Arc::new(NoopMetrics),
            decisions: Arc::new(NoopDecisionLog),
            next_waiter: AtomicU64::new(1),
            started_at: Instant::now(),
        };
        tokio::spawn(serve_http(listener, Arc::new(api), stopped));
        Self {
            addr,
            state,
            inputs: receiver,
            _stop: stop,
        }
    }

    fn configure(&self) {
        let text = br#"{"version":1,"routes":[{"name":"r","host":"a.example","path_prefix":"/r/","service":"shares"}]}"#;
        let document = Document {
            revision: 1,
            text: Arc::from(&text[..]),
        };
        let config = parse_config(&document).expect("valid document");
        self.state.set_config(config);
    }

    /// Submits a job; returns a receiver of the start of its response.
    fn submit(&self) -> oneshot::Receiver<String> {
        let addr = self.addr;
        let (sender, response) = oneshot::channel();
        tokio::spawn(async move {
            let body = r#"{"spec":"x","best_effort":true,"steps":[{"count":1,"cpu":500}]}"#;
            let request = format!(
                "POST /r/00000000000000a1 HTTP/1.1\r\nhost: a.example\r\nrattanslip-deadline-ms: {CLIENT_WAIT_MS}\r\n\
                 connection: close\r\ncontent-length: {}\r\n\r\n{body}",
                body.len()
            );
            let mut socket = TcpStream::connect(addr).await.expect("connect");
            socket.write_all(request.as_bytes()).await.expect("write");
            let mut response = String::new();
            socket.read_to_string(&mut response).await.expect("read");
            let _ = sender.send(response);
        });
        response
    }

    async fn next_submission(&mut self) -> (Submission, oneshot::Sender<JobOutcome>) {
        match self.inputs.recv().await {
            Some(LoopInput::Submit { submission, reply }) => (submission, reply),
            other => panic!("{other:?}"),
        }
    }
}

/// A job that arrives some milliseconds before the first configuration can be served in time; its
/// client has less time left by then.
#[tokio::test]
async fn a_job_waits_for_the_first_configuration() {
    let mut entry = Entry::start().await;
    let response = entry.submit();
    sleep(Duration::from_millis(150)).await;
    entry.configure();
    let (submission, reply) = entry.next_submission().await;
    let latest_ms = CLIENT_WAIT_MS - 100;
    assert!(
        (500..=latest_ms).contains(&submission.time_left_ms),
        "{}",
        submission.time_left_ms
    );
    let outcome = JobOutcome::NotRun {
        reason: RefusalReason::Overloaded,
        retry_after_ms: 1_000,
    };
    reply.send(outcome).expect("a client");
    let response = response.await.expect("a response");
    assert!(response.starts_with("HTTP/1.1 "), "{response}");
}

/// While the store is unavailable, jobs must not wait for a configuration that does not come.
#[tokio::test]
async fn jobs_are_refused_at_once_if_there_is_no_configuration_for_long() {
    let entry = Entry::start().await;
    let first = entry.submit().await.expect("a response");
    let start = Instant::now();
    let second = entry.submit().await.expect("a response");
    assert!(start.elapsed() < Duration::from_millis(250));
    for response in [first, second] {
        assert!(response.starts_with("HTTP/1.1 503"), "{response}");
        assert!(response.contains("retry-after"), "{response}");
    }
}
