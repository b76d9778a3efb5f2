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
        io::copy_bidirectional,
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
