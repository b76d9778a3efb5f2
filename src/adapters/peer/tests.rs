//! What counts as awaited on a connection, and what a silent or idle one does to its session.

use {
    super::{
        activity::Activity,
        awaited_tasks::AwaitedTasks,
        h2_client::H2Client,
        h2_server::{PeerHandler, RunnerSession, serve_peers},
    },
    crate::{
        adapters::metrics::OtelMetrics,
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

/// Generous: a loaded machine must not change a verdict.
const LIMIT: Duration = Duration::from_secs(30);

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
    Came(RunnerFrame),
}

use Step::{Came, Sent};

/// Each case: the frames of one session, and whether something is awaited after them.
macro_rules! awaited_after {
    ($($name:ident: [$($step:expr),*] => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            let activity = Arc::new(Activity::new(LIMIT));
            let stream = activity.open_stream().expect("open");
            let awaited = AwaitedTasks::new(Arc::clone(&activity), stream);
            let steps: Vec<Step> = vec![$($step),*];
            for step in &steps {
                match step {
                    Sent(frame) => awaited.sending(frame),
                    Came(frame) => awaited.received(frame),
                }
            }
            assert_eq!(!awaited.is_empty(), $expected);
            assert_eq!(activity.is_awaiting(), $expected);
            drop(awaited);
            assert!(!activity.is_awaiting(), "a session that is gone awaits nothing");
        }
    )*};
}

awaited_after! {
    a_hello_awaits_its_welcome: [] => true;
    a_welcomed_session_awaits_nothing: [Came(welcome())] => false;
    a_start_awaits_its_outcome: [Came(welcome()), Sent(start(0))] => true;
    an_outcome_ends_the_wait: [Came(welcome()), Sent(start(0)), Came(outcome(0))] => false;
    another_tasks_outcome_does_not:
        [Came(welcome()), Sent(start(0)), Sent(start(1)), Came(outcome(1))] => true;
    an_outcome_told_twice_counts_once:
        [Came(welcome()), Sent(start(0)), Sent(start(1)), Came(outcome(1)), Came(outcome(1))] => true;
    a_demand_awaits_its_offers:
        [Came(welcome()), Sent(demand(2)), Came(RunnerFrame::Offer { free: FREE })] => true;
    offers_end_the_wait:
        [Came(welcome()), Sent(demand(1)), Came(RunnerFrame::Offer { free: FREE })] => false;
    a_withdrawn_demand_awaits_nothing:
        [Came(welcome()), Sent(demand(2)), Sent(demand(0))] => false;
    a_queried_task_that_runs_is_awaited:
        [Came(welcome()), Sent(query(0)), Came(statuses(0, TaskStatus::Running))] => true;
    a_queried_task_that_ended_is_not:
        [Came(welcome()), Sent(query(0)), Came(statuses(0, TaskStatus::Ended(done())))] => false;
    a_task_that_never_started_is_not:
        [Came(welcome()), Sent(query(0)), Came(statuses(0, TaskStatus::NeverStarted))] => false;
    a_task_started_anew_is_awaited_whatever_became_of_its_first_start:
        [
            Came(welcome()), Sent(query(0)), Came(outcome(0)), Sent(start(0)),
            Came(statuses(0, TaskStatus::NeverStarted))
        ] => true;
}

/// A runner that welcomes its session and then never says anything.
#[derive(Debug, Default)]
struct MuteRunner {
    sessions: Mutex<Vec<RunnerSession>>,
}

#[async_trait]
impl PeerHandler for MuteRunner {
    async fn call(&self, _request: PeerRequest) -> PeerReply {
        PeerReply::Unsupported
    }

    fn session(&self, session: RunnerSession) -> bool {
        let welcomed = session.outgoing.send(welcome()).is_ok();
        self.sessions.lock().expect("sessions").push(session);
        welcomed
    }
}

/// A mute runner behind a relay that swallows everything, without closing, once told to.
async fn runner_behind_relay(metrics: &Arc<OtelMetrics>) -> (SocketAddr, watch::Sender<bool>) {
    let runner = TcpListener::bind("127.0.0.1:0").await.expect("listen");
    let runner_addr = runner.local_addr().expect("address");
    let handler = Arc::new(MuteRunner::default());
    tokio::spawn(serve_peers(runner, handler, metrics.clone()));
    let relay = TcpListener::bind("127.0.0.1:0").await.expect("listen");
    let relay_addr = relay.local_addr().expect("address");
    let (swallow, swallowing) = watch::channel(false);
    tokio::spawn(async move {
        let (mut near, _) = relay.accept().await.expect("accept");
        let mut far = TcpStream::connect(runner_addr).await.expect("connect");
        let mut told = swallowing.clone();
        tokio::select! {
            _ = copy_bidirectional(&mut near, &mut far) => {}
            _ = told.wait_for(|swallow| *swallow) => {}
        }
        // Both sockets stay open and unread.
        std::future::pending::<()>().await;
    });
    (relay_addr, swallow)
}

/// A home has a task at a runner when a firewall forgets their connection: nothing is closed and
/// nothing comes. The client would wait until its deadline; the pings end the session instead.
#[tokio::test]
async fn a_session_that_goes_silent_with_a_task_on_it_ends() {
    let metrics = Arc::new(OtelMetrics::new().expect("metrics"));
    let (addr, swallow) = runner_behind_relay(&metrics).await;
    let client = H2Client::new(metrics);
    let mut session = client
        .open_session(addr, AgentId(1), 1)
        .await
        .expect("session");
    assert_eq!(session.incoming.recv().await, Some(welcome()));
    session.outgoing.send(start(0)).expect("send");
    swallow.send(true).expect("relay");
    let ended = timeout(LIMIT, session.incoming.recv()).await;
    assert_eq!(ended, Ok(None), "the session ends");
}

/// Thousands of idle sessions would cost a host many times its budget of control, so one that
/// has been idle for a while ends, and the next task gets a new one.
#[tokio::test]
async fn an_idle_session_ends_and_a_new_one_opens() {
    let metrics = Arc::new(OtelMetrics::new().expect("metrics"));
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listen");
    let addr = listener.local_addr().expect("address");
    let handler = Arc::new(MuteRunner::default());
    tokio::spawn(serve_peers(listener, handler, metrics.clone()));
    let client = H2Client::with_idle_close(metrics, Duration::from_millis(50));
    for epoch in 1..=2 {
        let mut session = client
            .open_session(addr, AgentId(1), epoch)
            .await
            .expect("session");
        assert_eq!(session.incoming.recv().await, Some(welcome()));
        let ended = timeout(LIMIT, session.incoming.recv()).await;
        assert_eq!(ended, Ok(None), "the idle session ends");
    }
}

/// Length of a document or a task's input that takes two seconds on a link of 25 Mbit/s.
const LARGE_BYTES: usize = 6 << 20;

/// A peer that answers with a large document, and takes sessions.
#[derive(Debug, Default)]
struct LargePeer(MuteRunner);

#[async_trait]
impl PeerHandler for LargePeer {
    async fn call(&self, _request: PeerRequest) -> PeerReply {
        PeerReply::Configuration(Some((Head::default(), "x".repeat(LARGE_BYTES))))
    }

    fn session(&self, session: RunnerSession) -> bool {
        self.0.session(session)
    }
}

/// Passes bytes on at 25 Mbit/s.
async fn pass_slowly(mut from: impl AsyncRead + Unpin, mut to: impl AsyncWrite + Unpin) {
    let mut buffer = vec![0; 64 << 10];
    while let Ok(bytes @ 1..) = from.read(&mut buffer).await {
        if to.write_all(&buffer[..bytes]).await.is_err() {
            return;
        }
        tokio::time::sleep(Duration::from_micros(bytes as u64 * 8 / 25)).await;
    }
}

/// A large peer behind a narrow link.
async fn peer_behind_narrow_link(metrics: &Arc<OtelMetrics>) -> SocketAddr {
    let peer = TcpListener::bind("127.0.0.1:0").await.expect("listen");
    let peer_addr = peer.local_addr().expect("address");
    tokio::spawn(serve_peers(
        peer,
        Arc::new(LargePeer::default()),
        metrics.clone(),
    ));
    let link = TcpListener::bind("127.0.0.1:0").await.expect("listen");
    let link_addr = link.local_addr().expect("address");
    tokio::spawn(async move {
        let (near, _) = link.accept().await.expect("accept");
        let far = TcpStream::connect(peer_addr).await.expect("connect");
        let (near_in, near_out) = near.into_split();
        let (far_in, far_out) = far.into_split();
        tokio::join!(pass_slowly(near_in, far_out), pass_slowly(far_in, near_out));
    });
    link_addr
}

/// Guards against a connection that is taken as silent because a large answer goes before its pongs.
#[tokio::test]
async fn a_large_answer_over_a_narrow_link_keeps_its_connection() {
    let metrics = Arc::new(OtelMetrics::new().expect("metrics"));
    let addr = peer_behind_narrow_link(&metrics).await;
    let client = H2Client::new(metrics);
    let reply = client.call(addr, PeerRequest::Configuration).await;
    let Ok(PeerReply::Configuration(Some((_, text)))) = reply else {
        panic!("no document: {reply:?}");
    };
    assert_eq!(text.len(), LARGE_BYTES);
}

/// Guards against a connection that is taken as silent because a task's large input goes before its pings.
#[tokio::test]
async fn a_large_input_over_a_narrow_link_keeps_its_session() {
    let metrics = Arc::new(OtelMetrics::new().expect("metrics"));
    let addr = peer_behind_narrow_link(&metrics).await;
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
