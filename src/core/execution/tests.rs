//! Directed tests of the executor; the seeded harness plays it with everything else.

use {
    super::{
        ExecutionAction, ExecutionEvent, Executor, ExecutorSettings, HoldCall, HoldResponse,
        ListedEnd, ListedRun, SessionId, StartCall, StartResponse,
    },
    crate::core::{
        link::{AgentFrame, EntryFrame, EvacuatedZones, NotStartedReason, RunOutcome, StartOrder},
        time::Instant,
        work::{JobId, Resources, RunId, RunLimits, TaskId, WorkerIncarnation, WorkerView},
    },
    std::{collections::BTreeSet, sync::Arc},
};

const SESSION: SessionId = SessionId(1);
/// When the worker of each test was born, in milliseconds since 1970.
const BORN_MS: u64 = 5_000;

/// An executor with its clock and what it last wanted done.
struct Bench {
    executor: Executor,
    now: Instant,
    actions: Vec<ExecutionAction>,
}

fn limits() -> RunLimits {
    RunLimits::for_resend(1_300, 50)
}

fn view(born_unix_ms: u64, draining: bool) -> WorkerView {
    WorkerView {
        life: WorkerIncarnation {
            id: "w".to_owned(),
            born_unix_ms,
        },
        service: "shares".to_owned(),
        availability_zone: "north".to_owned(),
        capacity: Resources {
            cpu_milli: 2_000,
            ..Resources::default()
        },
        labels: Vec::new(),
        draining,
    }
}

fn run(job: u64) -> RunId {
    RunId {
        task: TaskId {
            job: JobId(job),
            step: 0,
            index: 0,
        },
        number: 1,
    }
}

fn order(job: u64) -> StartOrder {
    StartOrder {
        run: run(job),
        spec: Arc::from("spec"),
        needs: Resources {
            cpu_milli: 1_000,
            ..Resources::default()
        },
        time_left_ms: 5_000,
    }
}

impl Bench {
    /// An executor that knows neither a worker nor an entry.
    fn without_worker() -> Self {
        let settings = ExecutorSettings {
            agent: "agent".to_owned(),
            service: "shares".to_owned(),
            limits: limits(),
            first_token: 100,
        };
        Self {
            executor: Executor::new(settings),
            now: Instant::from_millis(10_000),
            actions: Vec::new(),
        }
    }

    /// An executor with a worker that is ready and an entry that may run tasks.
    fn ready() -> Self {
        let mut bench = Self::without_worker();
        bench.heartbeat(BORN_MS, 1, false);
        let look = bench.holds().remove(0);
        bench.lists(look, &[], &[]);
        bench.open_session();
        bench.beat();
        bench
    }

    fn open_session(&mut self) {
        self.open_session_of("entry", SESSION);
    }

    fn open_session_of(&mut self, entry: &str, session: SessionId) {
        self.feed(ExecutionEvent::SessionOpened {
            session,
            entry: entry.to_owned(),
        });
    }

    fn feed(&mut self, event: ExecutionEvent) {
        self.actions = self.executor.handle(self.now, event);
    }

    fn tick_after(&mut self, pause_ms: u64) {
        self.now = self.now.plus_ms(pause_ms);
        self.feed(ExecutionEvent::Tick);
    }

    fn heartbeat(&mut self, born_unix_ms: u64, sequence: u64, draining: bool) {
        let view = view(born_unix_ms, draining);
        self.feed(ExecutionEvent::Heartbeat { view, sequence });
    }

    fn frame(&mut self, frame: EntryFrame) {
        let session = SESSION;
        self.feed(ExecutionEvent::Frame { session, frame });
    }

    fn beat(&mut self) {
        self.frame(EntryFrame::Beat {
            echo_us: self.now.as_micros(),
            news_version: 0,
            document_revision: 0,
            is_holder: false,
        });
    }

    fn lists(&mut self, call: HoldCall, running: &[RunId], ended: &[ListedEnd]) {
        self.lists_at(1_000, call, running, ended);
    }

    /// The lists as the worker made them when its clock showed this time.
    fn lists_at(&mut self, clock_ms: u64, call: HoldCall, running: &[RunId], ended: &[ListedEnd]) {
        let answer = HoldResponse::Lists {
            born_unix_ms: Some(BORN_MS),
            clock_ms,
            running: running
                .iter()
                .map(|run| ListedRun {
                    task: run.task,
                    number: run.number,
                })
                .collect(),
            ended: ended.to_vec(),
        };
        self.feed(ExecutionEvent::HoldAnswered { call, answer });
    }

    fn holds(&self) -> Vec<HoldCall> {
        let holds = self.actions.iter().filter_map(|action| match action {
            ExecutionAction::Hold(call) => Some(call.clone()),
            _ => None,
        });
        holds.collect()
    }

    fn starts(&self) -> Vec<StartCall> {
        let starts = self.actions.iter().filter_map(|action| match action {
            ExecutionAction::Start(call) => Some(call.clone()),
            _ => None,
        });
        starts.collect()
    }

    fn stops(&self) -> usize {
        let stops = self.actions.iter();
        stops
            .filter(|action| matches!(action, ExecutionAction::Stop(_)))
            .count()
    }

    /// How runs ended, as the entry was told.
    fn ends(&self) -> Vec<RunOutcome> {
        let ends = self.actions.iter().filter_map(|action| match action {
            ExecutionAction::Send {
                frame: AgentFrame::Ended { end, .. },
                ..
            } => Some(*end),
            _ => None,
        });
        ends.collect()
    }

    /// Starts a task and lets the worker answer so.
    fn start(&mut self, job: u64, answer: StartResponse) {
        self.frame(EntryFrame::Start(order(job)));
        let call = self.starts().remove(0);
        self.feed(ExecutionEvent::StartAnswered { call, answer });
    }
}

macro_rules! refusal_cases {
    ($($(#[$doc:meta])* $name:ident: $prepare:expr => $reason:ident;)+) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                let mut bench = Bench::ready();
                let prepare: fn(&mut Bench) = $prepare;
                prepare(&mut bench);
                bench.frame(EntryFrame::Start(order(1)));
                assert_eq!(bench.ends(), [RunOutcome::NotStarted(NotStartedReason::$reason)]);
                assert!(bench.starts().is_empty());
            }
        )+
    };
}

refusal_cases! {
    /// A worker says that it ends. From the moment at which that is acknowledged it is given nothing.
    a_draining_worker_is_given_nothing: |bench| bench.heartbeat(BORN_MS, 2, true) => Draining;
    a_zone_that_is_out_is_given_nothing: |bench| bench.frame(EntryFrame::News(EvacuatedZones {
        version: 7,
        evacuated: BTreeSet::from(["north".to_owned()]),
    })) => Evacuated;
    a_task_has_one_run_at_a_time: |bench| bench.start(1, StartResponse::Accepted) => TaskBusy;
    what_does_not_fit_is_refused: |bench| {
        bench.start(2, StartResponse::Accepted);
        bench.start(3, StartResponse::Accepted);
    } => NoRoom;
    an_entry_without_a_fresh_echo_starts_nothing: |bench| {
        bench.now = bench.now.plus_ms(limits().liveness_timeout_ms);
    } => RightLapsed;
    a_process_that_is_to_end_starts_nothing: |bench| bench.feed(ExecutionEvent::Shutdown) => Draining;
}

/// Requests for the document after beats that name the agent as a holder, or not, 200 ms apart.
fn document_requests(named: &[bool]) -> usize {
    let mut bench = Bench::ready();
    let mut requests = 0;
    for is_holder in named {
        bench.now = bench.now.plus_ms(200);
        bench.frame(EntryFrame::Beat {
            echo_us: bench.now.as_micros(),
            news_version: 0,
            document_revision: 4,
            is_holder: *is_holder,
        });
        let is_request = |action: &&ExecutionAction| {
            matches!(
                action,
                ExecutionAction::Send {
                    frame: AgentFrame::FetchDocument(_),
                    ..
                }
            )
        };
        requests += bench.actions.iter().filter(is_request).count();
    }
    requests
}

macro_rules! document_cases {
    ($($(#[$doc:meta])* $name:ident: $named:expr => $requests:expr;)+) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                assert_eq!(document_requests(&$named), $requests);
            }
        )+
    };
}

document_cases! {
    a_holder_fetches_the_document: [true, true, true, true, true] => 1;
    an_agent_that_is_no_holder_fetches_nothing: [false, false, false, false, false] => 0;
    /// Guards against copies at most agents of a site that starts: each is among the first for a moment.
    an_agent_that_is_a_holder_for_a_moment_fetches_nothing: [true, true, false, true, true] => 0;
}

/// An entry's host is suspended. Its runs are stopped once its right has lapsed, and its session is given up, so
/// that a copy of the job at another entry finds nothing of it at work.
#[test]
fn a_silent_entry_loses_its_runs() {
    let mut bench = Bench::ready();
    bench.start(1, StartResponse::Accepted);
    let mut stops = Vec::new();
    for _ in 0..limits().liveness_timeout_ms / 15 {
        bench.tick_after(15);
        stops.push(bench.stops());
        let closed = std::mem::take(&mut bench.actions);
        for action in &closed {
            if let ExecutionAction::Hold(call) = action {
                bench.lists(call.clone(), &[run(1)], &[]);
            }
        }
        bench.actions = closed;
    }
    assert_eq!(stops.pop(), Some(1));
    assert_eq!(stops.iter().sum::<usize>(), 0);
    let closed = ExecutionAction::Close { session: SESSION };
    assert!(bench.actions.contains(&closed));
}

/// What an entry was last told of free room, in cores.
fn told_room(bench: &Bench, to: SessionId) -> Option<u32> {
    let mut reports = bench
        .actions
        .iter()
        .rev()
        .filter_map(|action| match action {
            ExecutionAction::Send {
                session,
                frame: AgentFrame::Room(report),
            } if *session == to => Some(report.free.cpu_milli / 1_000),
            _ => None,
        });
    reports.next()
}

/// A worker of two slots that is full, and two more entries that were turned away.
fn full_worker_with_two_waiting() -> Bench {
    let mut bench = Bench::ready();
    bench.start(1, StartResponse::Accepted);
    bench.start(2, StartResponse::Accepted);
    for session in [SessionId(2), SessionId(3)] {
        let entry = format!("entry-{}", session.0);
        bench.feed(ExecutionEvent::SessionOpened { session, entry });
        let echo_us = bench.now.as_micros();
        let frame = EntryFrame::Beat {
            echo_us,
            news_version: 0,
            document_revision: 0,
            is_holder: false,
        };
        bench.feed(ExecutionEvent::Frame { session, frame });
        let frame = EntryFrame::Start(order(10 + session.0));
        bench.feed(ExecutionEvent::Frame { session, frame });
        assert_eq!(told_room(&bench, session), Some(0));
    }
    bench
}

/// Of the two entries that wait, the one that was told of a slot, and the other.
fn offered_and_other(bench: &Bench) -> (SessionId, SessionId) {
    let (one, two) = (SessionId(2), SessionId(3));
    if told_room(bench, one) == Some(1) {
        return (one, two);
    }
    assert_eq!(told_room(bench, two), Some(1));
    (two, one)
}

/// A look at the worker that was made after all others.
fn some_look() -> HoldCall {
    HoldCall {
        worker: "w".to_owned(),
        sequence: 1_000,
        token: 100,
        lease_until_ms: None,
        ends_seen: 0,
        wait_ms: 0,
    }
}

fn end_of(job: u64) -> ListedEnd {
    ListedEnd {
        sequence: job,
        task: run(job).task,
        number: 1,
        end: RunOutcome::Done,
    }
}

/// More work waits at three entries than a worker can take. When a slot becomes free, one of those that were turned away is
/// told of it, and no other that waits. All used to be told, all ordered, and all but one were turned away again.
#[test]
fn a_free_slot_is_offered_to_one_entry_that_waits() {
    let mut bench = full_worker_with_two_waiting();
    // By then a report to each of them would be due, also after they have been told of each other.
    bench.tick_after(30);
    bench.tick_after(30);
    bench.lists(some_look(), &[run(2)], &[end_of(1)]);
    let (first, other) = offered_and_other(&bench);
    assert_eq!(told_room(&bench, other), None);
    // Left alone, the slot goes to the next one.
    bench.tick_after(12);
    assert_eq!(told_room(&bench, other), Some(1));
    assert_eq!(told_room(&bench, first), None);
}

/// An entry is offered a slot that it no longer needs. Its word passes the slot on at once; it used to stand idle for
/// the length of the offer, up to a tenth of a worker's time in overload.
#[test]
fn a_declined_slot_is_offered_to_the_next_entry() {
    let mut bench = full_worker_with_two_waiting();
    bench.lists(some_look(), &[run(2)], &[end_of(1)]);
    let (first, other) = offered_and_other(&bench);
    let frame = EntryFrame::Decline;
    let session = first;
    bench.feed(ExecutionEvent::Frame { session, frame });
    assert_eq!(told_room(&bench, other), Some(1));
}

/// The entry that took the offered slot waits its turn behind the one that runs nothing here.
#[test]
fn who_has_fewest_runs_is_offered_room_first() {
    let mut bench = full_worker_with_two_waiting();
    // By then a report to each of them would be due, also after they have been told of each other.
    bench.tick_after(30);
    bench.tick_after(30);
    bench.lists(some_look(), &[run(2)], &[end_of(1)]);
    let (first, other) = offered_and_other(&bench);
    let frame = EntryFrame::Start(order(12));
    let session = first;
    bench.feed(ExecutionEvent::Frame { session, frame });
    assert_eq!(bench.starts().len(), 1);
    assert_eq!(told_room(&bench, first), Some(0));
    bench.tick_after(30);
    bench.lists(some_look(), &[run(12)], &[end_of(2)]);
    assert_eq!(told_room(&bench, other), Some(1));
    assert_eq!(told_room(&bench, first), None);
}

/// The list of entries loses an entry and has it again while its session lives, and the agent dials it a second time. The
/// hello of the second session told the entry that nothing of the first runs here: it started its tasks
/// elsewhere, and for some tens of milliseconds they had two runs.
#[test]
fn an_entry_has_one_session_at_a_time() {
    let mut bench = Bench::ready();
    bench.start(1, StartResponse::Accepted);
    let second = SessionId(2);
    let opens = || ExecutionEvent::SessionOpened {
        session: second,
        entry: "entry".to_owned(),
    };
    let is_hello = |action: &ExecutionAction| matches!(action, ExecutionAction::Send { session, frame: AgentFrame::Hello { .. } } if *session == second);
    bench.feed(opens());
    assert!(!bench.actions.iter().any(is_hello));
    assert!(
        bench
            .actions
            .contains(&ExecutionAction::Close { session: second })
    );
    // Nor while the first one's run is not over.
    let session = SESSION;
    bench.feed(ExecutionEvent::SessionLost { session });
    bench.feed(opens());
    assert!(!bench.actions.iter().any(is_hello));
}

/// Two looks at a worker are under way. The later one tells a run's end, and the earlier one, whose answer was overtaken, still
/// lists the run. It used to be taken for a run that nobody started, and was stopped and noted, twenty
/// times a second on a busy site.
#[test]
fn lists_that_were_overtaken_tell_no_stray_runs() {
    let mut bench = Bench::ready();
    bench.start(1, StartResponse::Accepted);
    bench.tick_after(120);
    let earlier = bench.holds().remove(0);
    let ended = ListedEnd {
        sequence: 1,
        task: run(1).task,
        number: 1,
        end: RunOutcome::Done,
    };
    bench.lists_at(1_121, earlier.clone(), &[], &[ended]);
    assert_eq!(bench.ends(), [RunOutcome::Done]);
    bench.lists_at(1_120, earlier.clone(), &[run(1)], &[]);
    assert_eq!(bench.stops(), 0);
    // A list that is as new tells of a run that really goes on.
    bench.lists_at(1_121, earlier, &[run(1)], &[]);
    assert_eq!(bench.stops(), 1);
}

/// Bytes of an entry are held up for seconds and then arrive at once. The echo in them is old and gives no right.
#[test]
fn an_old_echo_gives_no_right() {
    let mut bench = Bench::ready();
    let echo_us = bench.now.as_micros();
    bench.now = bench.now.plus_ms(3_000);
    bench.frame(EntryFrame::Beat {
        echo_us,
        news_version: 0,
        document_revision: 0,
        is_holder: false,
    });
    bench.frame(EntryFrame::Start(order(1)));
    assert_eq!(
        bench.ends(),
        [RunOutcome::NotStarted(NotStartedReason::RightLapsed)]
    );
}

/// A start is not answered. It may be carried out seconds later, so the task is not given back before
/// the worker has taken a higher token; then its lists tell.
#[test]
fn an_unanswered_start_is_settled_under_a_higher_token() {
    let mut bench = Bench::ready();
    bench.start(1, StartResponse::Unanswered);
    assert!(bench.ends().is_empty());
    let look = bench.holds().remove(0);
    assert_eq!(look.token, 101);
    bench.lists(look, &[], &[]);
    assert_eq!(
        bench.ends(),
        [RunOutcome::NotStarted(NotStartedReason::OrderLost)]
    );
}

#[test]
fn an_unanswered_start_that_is_listed_goes_on() {
    let mut bench = Bench::ready();
    bench.start(1, StartResponse::Unanswered);
    let look = bench.holds().remove(0);
    bench.lists(look, &[run(1)], &[]);
    assert!(bench.ends().is_empty());
    assert_eq!(bench.executor.run_count(), 1);
}

/// A run of the task had ended at this worker for another entry. The number is used, and the next one is taken.
#[test]
fn a_used_number_is_raised() {
    let mut bench = Bench::ready();
    bench.start(1, StartResponse::NumberUsed);
    assert_eq!(bench.starts()[0].number, 2);
}

/// All agents of a site are killed and start again at once, while their workers live on and report every second and a half. What
/// an earlier process has kept is enough to look at the worker, so tasks start there some milliseconds later, not with its next
/// report. If none comes, the worker may have said to the earlier process that it ends, and is given nothing more.
#[test]
fn a_worker_that_is_recalled_is_used_before_it_reports() {
    let mut bench = Bench::without_worker();
    bench.feed(ExecutionEvent::WorkerRestored {
        view: view(BORN_MS, false),
    });
    let look = bench.holds().remove(0);
    bench.lists(look, &[], &[]);
    assert!(bench.actions.contains(&ExecutionAction::StaleRunsStopped));
    bench.open_session();
    bench.beat();
    bench.frame(EntryFrame::Start(order(1)));
    assert_eq!(bench.starts().len(), 1);
    for _ in 0..30 {
        bench.tick_after(100);
        for look in bench.holds() {
            bench.lists(look, &[], &[]);
        }
    }
    bench.open_session_of("other entry", SessionId(2));
    let offered = bench.actions.iter().find_map(|action| match action {
        ExecutionAction::Send {
            frame: AgentFrame::Worker(view),
            ..
        } => view.clone(),
        _ => None,
    });
    assert!(offered.is_some_and(|view| view.draining));
}

/// The worker was replaced while no agent was at work. It rejects the look that was meant for the one before, which is
/// never offered; its own report is waited for.
#[test]
fn a_recalled_worker_that_is_gone_is_not_offered() {
    let mut bench = Bench::without_worker();
    bench.feed(ExecutionEvent::WorkerRestored {
        view: view(BORN_MS - 1, false),
    });
    let call = bench.holds().remove(0);
    let answer = HoldResponse::OtherWorker;
    bench.feed(ExecutionEvent::HoldAnswered { call, answer });
    assert!(!bench.actions.contains(&ExecutionAction::StaleRunsStopped));
    bench.heartbeat(BORN_MS, 1, false);
    let look = bench.holds().remove(0);
    bench.lists(look, &[], &[]);
    assert!(bench.actions.contains(&ExecutionAction::StaleRunsStopped));
}

/// What the worker says of itself is kept when it changes, not with each report.
#[test]
fn a_worker_is_kept_when_it_changes() {
    let mut bench = Bench::ready();
    let is_kept = |bench: &Bench| {
        let mut actions = bench.actions.iter();
        actions.any(|action| matches!(action, ExecutionAction::PersistWorker(_)))
    };
    bench.heartbeat(BORN_MS, 2, false);
    assert!(!is_kept(&bench));
    bench.heartbeat(BORN_MS, 3, true);
    assert!(is_kept(&bench));
}

/// An agent is killed and starts again. What its earlier process had started is still at work at the worker: it is
/// stopped before the worker is offered.
#[test]
fn runs_of_an_earlier_process_are_stopped_first() {
    let settings = Bench::ready().executor.settings.clone();
    let mut bench = Bench {
        executor: Executor::new(settings),
        now: Instant::from_millis(10_000),
        actions: Vec::new(),
    };
    bench.heartbeat(BORN_MS, 9, false);
    let look = bench.holds().remove(0);
    bench.lists(look, &[run(8)], &[]);
    assert_eq!(bench.stops(), 1);
    assert!(!bench.actions.contains(&ExecutionAction::StaleRunsStopped));
    bench.tick_after(100);
    let look = bench.holds().remove(0);
    bench.lists(look, &[], &[]);
    assert!(bench.actions.contains(&ExecutionAction::StaleRunsStopped));
}

/// A worker begins anew under its name and takes a start; its report of that comes late. The run is not
/// given back as lost with the life before, since it is at work.
#[test]
fn a_run_in_a_life_that_is_told_of_late_goes_on() {
    let mut bench = Bench::ready();
    bench.start(1, StartResponse::Accepted);
    bench.heartbeat(BORN_MS + 500, 1, false);
    assert!(bench.ends().is_empty());
    let call = bench.holds().remove(0);
    let answer = HoldResponse::Lists {
        born_unix_ms: Some(BORN_MS + 500),
        clock_ms: 40,
        running: vec![ListedRun {
            task: run(1).task,
            number: 1,
        }],
        ended: Vec::new(),
    };
    bench.feed(ExecutionEvent::HoldAnswered { call, answer });
    assert!(bench.ends().is_empty());
    assert_eq!(bench.executor.run_count(), 1);
}

/// A report of an earlier life comes after that of the present one. It names no worker to use.
#[test]
fn a_late_report_of_an_earlier_life_changes_nothing() {
    let mut bench = Bench::ready();
    bench.heartbeat(BORN_MS - 1, 99, true);
    bench.start(1, StartResponse::Accepted);
    assert!(bench.ends().is_empty());
}

/// A worker's process is gone, and connections to it are refused at once. Each refusal was answered with
/// another call, thousands a second; and the worker was offered on, as long as nothing ran there.
#[test]
fn a_worker_that_refuses_connections_is_not_called_in_a_loop() {
    let mut bench = Bench::ready();
    // The watch that the worker was given first is over by then.
    bench.tick_after(2_000);
    let mut waiting: Vec<HoldCall> = bench.holds();
    let mut calls = 0;
    for _ in 0..100 {
        while let Some(call) = waiting.pop().filter(|_| calls < 1_000) {
            calls += 1;
            let answer = HoldResponse::Unanswered;
            bench.feed(ExecutionEvent::HoldAnswered { call, answer });
            waiting.extend(bench.holds());
        }
        bench.tick_after(20);
        waiting.extend(bench.holds());
    }
    assert!(calls <= 25, "{calls} calls in two seconds");
    bench.frame(EntryFrame::Start(order(1)));
    assert!(bench.starts().is_empty());
}

/// A worker does not answer, and tasks run there. They are given back only when its lease is certainly over.
#[test]
fn runs_of_a_silent_worker_are_lost_with_its_lease() {
    let mut bench = Bench::ready();
    bench.start(1, StartResponse::Accepted);
    let mut waited_ms = 0;
    while bench.ends().is_empty() {
        bench.tick_after(20);
        bench.beat_quietly();
        waited_ms += 20;
        for call in bench.holds() {
            let answer = HoldResponse::Unanswered;
            let kept = std::mem::take(&mut bench.actions);
            bench.feed(ExecutionEvent::HoldAnswered { call, answer });
            bench.actions.extend(kept);
        }
        assert!(waited_ms < 2_000);
    }
    assert_eq!(bench.ends(), [RunOutcome::Lost]);
    assert!(waited_ms >= 2 * limits().lease_ms - 100, "{waited_ms}");
}

impl Bench {
    /// Keeps the entry's right without forgetting the actions that are looked at.
    fn beat_quietly(&mut self) {
        let kept = std::mem::take(&mut self.actions);
        self.beat();
        self.actions.extend(kept);
    }
}

#[test]
fn an_end_is_told_once() {
    let mut bench = Bench::ready();
    bench.start(1, StartResponse::Accepted);
    let end = ListedEnd {
        sequence: 1,
        task: run(1).task,
        number: 1,
        end: RunOutcome::Done,
    };
    bench.tick_after(150);
    let look = bench.holds().remove(0);
    bench.lists(look.clone(), &[], &[end]);
    assert_eq!(bench.ends(), [RunOutcome::Done]);
    bench.lists(look, &[], &[end]);
    assert!(bench.ends().is_empty());
}

/// A start is under way when its worker's host loses power: the task began, the answer never came, and the worker
/// that comes next lists nothing. The client was told "not run", which was false.
#[test]
fn an_order_that_its_worker_may_have_begun_is_not_called_not_started() {
    let mut bench = Bench::ready();
    bench.frame(EntryFrame::Start(order(1)));
    bench.heartbeat(BORN_MS + 500, 1, false);
    let call = bench.holds().remove(0);
    let answer = HoldResponse::Lists {
        born_unix_ms: Some(BORN_MS + 500),
        clock_ms: 40,
        running: Vec::new(),
        ended: Vec::new(),
    };
    bench.feed(ExecutionEvent::HoldAnswered { call, answer });
    assert_eq!(bench.ends(), [RunOutcome::Lost]);
}

/// The same where the worker stays silent until its lease is over.
#[test]
fn an_order_to_a_worker_that_fell_silent_may_have_run() {
    let mut bench = Bench::ready();
    bench.start(1, StartResponse::Unanswered);
    for _ in 0..100 {
        if !bench.ends().is_empty() {
            break;
        }
        bench.tick_after(20);
        bench.beat_quietly();
    }
    assert_eq!(bench.ends(), [RunOutcome::Lost]);
}
