//! Tests of awaited replies, liveness checks and idle timeouts.

use {
    super::{
        activity::ConnectionActivity,
        awaited_tasks::AwaitedTasks,
        h2_client::H2Client,
        h2_server::{PeerHandler, RunnerSession, serve_peers},
    },
    crate::{
        adapters::{connections::ServerConnections, metrics::OtelMetrics},
        core::{
            config::Head,
            job::{TaskOutcome, TaskRef},
            message::{
                FreeSlots, HomeFrame, PeerReply, PeerRequest, RunnerFrame, StartFrame,
                StatusReport, TaskStatus,
            },
            ticket::{AgentId, TicketId},
        },
        ports::PeerNetwork,
    },
    async_trait::async_trait,
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, copy_bidirectional},
        net::{TcpListener, TcpStream},
        sync::watch,
        time::timeout,
    },
};

/// Timeout of an awaited event.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

fn task(index: u16) -> TaskRef {
    let ticket = TicketId {
        home: AgentId(1),
        generation: 0,
        counter: 0,
    };
    TaskRef { ticket, index }
}

fn start(index: u16) -> HomeFrame {
    HomeFrame::Start(StartFrame {
        task: task(index),
        service: "crew-share".to_owned(),
        input: String::new(),
        deadline_ms: 1_000,
        memory_mb: 0,
        accelerators: 0,
    })
}

const FREE: FreeSlots = FreeSlots {
    slots: 1,
    starts_seen: 0,
    held: 0,
};

fn query(index: u16) -> HomeFrame {
    HomeFrame::Query {
        tasks: vec![(task(index), 1)],
    }
}

const fn demand(tasks: u16) -> HomeFrame {
    HomeFrame::Demand {
        tasks,
        waited_ms: 0,
    }
}

fn outcome(index: u16) -> RunnerFrame {
    RunnerFrame::Outcome {
        task: task(index),
        outcome: done(),
        free: FREE,
    }
}

fn done() -> TaskOutcome {
    TaskOutcome::Done {
        output: String::new(),
    }
}

fn welcome() -> RunnerFrame {
    RunnerFrame::Welcome {
        runner: AgentId(2),
        free: FREE,
    }
}

fn statuses(index: u16, status: TaskStatus) -> RunnerFrame {
    RunnerFrame::Statuses {
        tasks: vec![StatusReport {
            task: task(index),
            epoch: 1,
            status,
        }],
    }
}

enum Step {
    Sent(HomeFrame),
    Received(RunnerFrame),
}

use Step::{Received, Sent};

/// Each case lists the frames of a session and whether a reply is awaited after them.
macro_rules! awaited_after {
    ($($name:ident: [$($step:expr),*] => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            let activity = Arc::new(ConnectionActivity::new(TEST_TIMEOUT));
            let stream = activity.open_stream().expect("open");
            let awaited = AwaitedTasks::new(Arc::clone(&activity), stream);
            let steps: Vec<Step> = vec![$($step),*];
            for step in &steps {
                match step {
                    Sent(frame) => awaited.record_sent(frame),
                    Received(frame) => awaited.record_received(frame),
                }
            }
            assert_eq!(!awaited.is_empty(), $expected);
            assert_eq!(activity.is_reply_awaited(), $expected);
            drop(awaited);
            assert!(!activity.is_reply_awaited(), "a dropped session awaits nothing");
        }
    )*};
}

awaited_after! {
    a_hello_awaits_a_welcome: [] => true;
    a_welcomed_session_awaits_nothing: [Received(welcome())] => false;
    a_start_awaits_its_outcome: [Received(welcome()), Sent(start(0))] => true;
    an_outcome_ends_the_wait: [Received(welcome()), Sent(start(0)), Received(outcome(0))] => false;
    another_tasks_outcome_does_not_end_the_wait:
        [Received(welcome()), Sent(start(0)), Sent(start(1)), Received(outcome(1))] => true;
    a_duplicate_outcome_counts_once:
        [Received(welcome()), Sent(start(0)), Sent(start(1)), Received(outcome(1)), Received(outcome(1))] => true;
    a_demand_awaits_offers:
        [Received(welcome()), Sent(demand(2)), Received(RunnerFrame::Offer { free: FREE })] => true;
    offers_end_the_wait:
        [Received(welcome()), Sent(demand(1)), Received(RunnerFrame::Offer { free: FREE })] => false;
    a_withdrawn_demand_awaits_nothing:
        [Received(welcome()), Sent(demand(2)), Sent(demand(0))] => false;
    a_queried_task_that_is_running_is_awaited:
        [Received(welcome()), Sent(query(0)), Received(statuses(0, TaskStatus::Running))] => true;
    a_queried_task_that_ended_is_not_awaited:
        [Received(welcome()), Sent(query(0)), Received(statuses(0, TaskStatus::Ended(done())))] => false;
    a_queried_task_that_never_started_is_not_awaited:
        [Received(welcome()), Sent(query(0)), Received(statuses(0, TaskStatus::NeverStarted))] => false;
    a_restarted_task_is_awaited_after_a_status_of_its_first_start:
        [
            Received(welcome()), Sent(query(0)), Received(outcome(0)), Sent(start(0)),
            Received(statuses(0, TaskStatus::NeverStarted))
        ] => true;
}

/// A runner that sends nothing after the welcome.
#[derive(Debug, Default)]
struct UnresponsiveRunner {
    sessions: Mutex<Vec<RunnerSession>>,
}

#[async_trait]
impl PeerHandler for UnresponsiveRunner {
    async fn handle_call(&self, _request: PeerRequest) -> PeerReply {
        PeerReply::Unsupported
    }

    fn accept_session(&self, session: RunnerSession) -> bool {
        let welcomed = session.outgoing.send(welcome()).is_ok();
        self.sessions.lock().expect("sessions").push(session);
        welcomed
    }
}

/// An unresponsive runner behind a relay that drops all traffic, without closing, once the sender is set.
async fn unresponsive_runner_behind_relay(
    metrics: &Arc<OtelMetrics>,
) -> (SocketAddr, watch::Sender<bool>) {
    let runner = TcpListener::bind("127.0.0.1:0").await.expect("listen");
    let runner_addr = runner.local_addr().expect("address");
    let handler = Arc::new(UnresponsiveRunner::default());
    tokio::spawn(serve_peers(
        runner,
        handler,
        ServerConnections::unlimited(),
        metrics.clone(),
    ));
    let relay = TcpListener::bind("127.0.0.1:0").await.expect("listen");
    let relay_addr = relay.local_addr().expect("address");
    let (blackhole, blackholed) = watch::channel(false);
    tokio::spawn(async move {
        let (mut near, _) = relay.accept().await.expect("accept");
        let mut far = TcpStream::connect(runner_addr).await.expect("connect");
        let mut blackholed = blackholed.clone();
        tokio::select! {
            _ = copy_bidirectional(&mut near, &mut far) => {}
            _ = blackholed.wait_for(|blackhole| *blackhole) => {}
        }
        // Both sockets stay open and unread.
        std::future::pending::<()>().await;
    });
    (relay_addr, blackhole)
}

/// A connection that drops all packets must end the session before the task's deadline.
#[tokio::test]
async fn an_unresponsive_session_with_a_running_task_ends() {
    let metrics = Arc::new(OtelMetrics::new().expect("metrics"));
    let (addr, blackhole) = unresponsive_runner_behind_relay(&metrics).await;
    let client = H2Client::new(metrics);
    let mut session = client
        .open_session(addr, AgentId(1), 1)
        .await
        .expect("session");
    assert_eq!(session.incoming.recv().await, Some(welcome()));
    session.outgoing.send(start(0)).expect("send");
    blackhole.send(true).expect("relay");
    let ended = timeout(TEST_TIMEOUT, session.incoming.recv()).await;
    assert_eq!(ended, Ok(None), "the session ends");
}

#[tokio::test]
async fn an_idle_session_ends_and_a_new_one_opens() {
    let metrics = Arc::new(OtelMetrics::new().expect("metrics"));
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listen");
    let addr = listener.local_addr().expect("address");
    let handler = Arc::new(UnresponsiveRunner::default());
    tokio::spawn(serve_peers(
        listener,
        handler,
        ServerConnections::unlimited(),
        metrics.clone(),
    ));
    let client = H2Client::with_idle_timeout(metrics, Duration::from_millis(50));
    for epoch in 1..=2 {
        let mut session = client
            .open_session(addr, AgentId(1), epoch)
            .await
            .expect("session");
        assert_eq!(session.incoming.recv().await, Some(welcome()));
        let ended = timeout(TEST_TIMEOUT, session.incoming.recv()).await;
        assert_eq!(ended, Ok(None), "the idle session ends");
    }
}

/// Size of a message that takes longer than the pong timeout on the slow link.
const LARGE_BYTES: usize = 6 << 20;

/// A peer that replies with a large document and accepts sessions.
#[derive(Debug, Default)]
struct LargeReplyPeer(UnresponsiveRunner);

#[async_trait]
impl PeerHandler for LargeReplyPeer {
    async fn handle_call(&self, _request: PeerRequest) -> PeerReply {
        PeerReply::Configuration(Some((Head::default(), "x".repeat(LARGE_BYTES))))
    }

    fn accept_session(&self, session: RunnerSession) -> bool {
        self.0.accept_session(session)
    }
}

async fn relay_at_25_mbit(mut from: impl AsyncRead + Unpin, mut to: impl AsyncWrite + Unpin) {
    let mut buffer = vec![0; 64 << 10];
    while let Ok(bytes @ 1..) = from.read(&mut buffer).await {
        if to.write_all(&buffer[..bytes]).await.is_err() {
            return;
        }
        tokio::time::sleep(Duration::from_micros(bytes as u64 * 8 / 25)).await;
    }
}

async fn peer_behind_slow_link(metrics: &Arc<OtelMetrics>) -> SocketAddr {
    let peer = TcpListener::bind("127.0.0.1:0").await.expect("listen");
    let peer_addr = peer.local_addr().expect("address");
    tokio::spawn(serve_peers(
        peer,
        Arc::new(LargeReplyPeer::default()),
        ServerConnections::unlimited(),
        metrics.clone(),
    ));
    let link = TcpListener::bind("127.0.0.1:0").await.expect("listen");
    let link_addr = link.local_addr().expect("address");
    tokio::spawn(async move {
        let (near, _) = link.accept().await.expect("accept");
        let far = TcpStream::connect(peer_addr).await.expect("connect");
        let (near_in, near_out) = near.into_split();
        let (far_in, far_out) = far.into_split();
        tokio::join!(
            relay_at_25_mbit(near_in, far_out),
            relay_at_25_mbit(far_in, near_out)
        );
    });
    link_addr
}

/// Pongs that are queued behind a large reply must not end the connection.
#[tokio::test]
async fn a_large_reply_over_a_slow_link_keeps_its_connection() {
    let metrics = Arc::new(OtelMetrics::new().expect("metrics"));
    let addr = peer_behind_slow_link(&metrics).await;
    let client = H2Client::new(metrics);
    let reply = client.call(addr, PeerRequest::Configuration).await;
    let Ok(PeerReply::Configuration(Some((_, text)))) = reply else {
        panic!("no document: {reply:?}");
    };
    assert_eq!(text.len(), LARGE_BYTES);
}

/// Pings that are queued behind a large input must not end the session.
#[tokio::test]
async fn a_large_input_over_a_slow_link_keeps_its_session() {
    let metrics = Arc::new(OtelMetrics::new().expect("metrics"));
    let addr = peer_behind_slow_link(&metrics).await;
    let client = H2Client::new(metrics);
    let session = client.open_session(addr, AgentId(1), 1).await;
    let mut session = session.expect("session");
    assert_eq!(session.incoming.recv().await, Some(welcome()));
    let HomeFrame::Start(frame) = start(0) else {
        unreachable!("a start");
    };
    let input = "x".repeat(LARGE_BYTES);
    let large = HomeFrame::Start(StartFrame { input, ..frame });
    session.outgoing.send(large).expect("send");
    let ended = timeout(Duration::from_secs(4), session.incoming.recv()).await;
    assert!(ended.is_err(), "the session has ended");
}
