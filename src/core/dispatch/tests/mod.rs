//! Unit tests of the dispatcher; the simulation in `core::tests` runs it together with the other
//! state machines.

mod begun_jobs;
mod cancellation;
mod concurrent_entries;
mod crashes;
mod labels;
mod queue_shares;
mod same_numbers;
mod sessions;
mod uneven_placement;
mod uneven_workers;
mod worker_discovery;

use {
    super::{
        DispatchAction, DispatchEvent, DispatchSettings, Dispatcher, GiveUpReason, JobOutcome,
        LinkId, RefusalReason, Submission, WaiterId,
    },
    crate::core::{
        link::{
            AgentFrame, CapacityReport, EntryFrame, EvacuatedZones, NotStartedReason, RunOutcome,
            StartOrder,
        },
        routes::Route,
        time::Instant,
        work::{
            JobId, JobRequest, Resources, RunId, RunLimits, StepSpec, UnsupportedFeature,
            WorkerIncarnation, WorkerView,
        },
    },
    std::{collections::BTreeSet, sync::Arc},
};

/// Capacity of each worker, in tasks of one core.
const WORKER_CORES: u32 = 2;

/// A dispatcher with its clock and its latest actions.
struct TestDispatcher {
    dispatcher: Dispatcher,
    now: Instant,
    stamp_us: u64,
    actions: Vec<DispatchAction>,
}

fn needs(cores: u32) -> Resources {
    Resources {
        cpu_milli: cores * 1_000,
        ..Resources::default()
    }
}

fn route(priority: u32) -> Arc<Route> {
    Arc::new(Route {
        name: format!("queue-{priority}"),
        host: "a.example".to_owned(),
        path_prefix: "/".to_owned(),
        service: "shares".to_owned(),
        timeout_ms: 5_000,
        max_attempts: 3,
        priority,
        stretch: 1.6,
        target_ms: 60,
        needs_advice: false,
        competes: false,
    })
}

fn step(tasks: u16, estimate_ms: u64) -> StepSpec {
    StepSpec {
        tasks,
        needs: needs(1),
        estimate_ms,
        after: Vec::new(),
        required_label: None,
        data_rack: None,
        max_per_worker: 0,
    }
}

fn job(number: u64, priority: u32, steps: Vec<StepSpec>) -> Submission {
    Submission {
        waiter: WaiterId(number),
        id: JobId::of_number(number),
        request: JobRequest {
            spec: Arc::from("spec"),
            steps,
            unsupported: None,
        },
        route: route(priority),
        time_left_ms: 3_000,
    }
}

impl TestDispatcher {
    /// Creates a dispatcher that is connected to this many agents with idle workers.
    fn with_workers(workers: u64) -> Self {
        let mut dispatcher = Self::with_seed(1);
        for worker in 1..=workers {
            dispatcher.connect(worker);
        }
        dispatcher.end_discovery();
        dispatcher
    }

    /// Waits until the entry regards its workers as known.
    fn end_discovery(&mut self) {
        self.advance_ms(140);
    }

    /// Creates a dispatcher without agents.
    fn with_seed(seed: u64) -> Self {
        let limits = RunLimits::for_resend(1_300, 50);
        Self {
            dispatcher: Dispatcher::new(DispatchSettings {
                limits,
                seed,
                remote_penalty_permille: 1_000,
            }),
            now: Instant::from_millis(10_000),
            stamp_us: 1,
            actions: Vec::new(),
        }
    }

    fn connect(&mut self, worker: u64) {
        self.connect_with(worker, WORKER_CORES, 1_000);
    }

    /// Connects an agent that reports this share of its worker.
    fn connect_with(&mut self, worker: u64, cores: u32, share_permille: u16) {
        self.stamp_us += 1;
        let hello = AgentFrame::Hello {
            agent: format!("agent-{worker}"),
            stamp_us: self.stamp_us,
        };
        self.receive_frame(worker, hello);
        let view = WorkerView {
            life: WorkerIncarnation {
                id: format!("w-{worker}"),
                born_unix_ms: 1,
            },
            service: "shares".to_owned(),
            availability_zone: ["north", "south"][worker as usize % 2].to_owned(),
            capacity: needs(cores),
            labels: vec![format!("rack-{worker}")],
            draining: false,
        };
        self.receive_frame(worker, AgentFrame::Worker(Some(view)));
        self.report_share(worker, cores, share_permille);
    }

    fn report_capacity(&mut self, worker: u64, cores: u32, starts_seen: u32) {
        let report = CapacityReport {
            free: needs(cores),
            starts_seen,
            share_permille: 1_000,
            slowness_permille: 1_000,
        };
        self.receive_report(worker, report);
    }

    /// Reports free capacity and this entry's share of the worker.
    fn report_share(&mut self, worker: u64, cores: u32, share_permille: u16) {
        let report = CapacityReport {
            free: needs(cores),
            starts_seen: 0,
            share_permille,
            slowness_permille: 1_000,
        };
        self.receive_report(worker, report);
    }

    fn receive_report(&mut self, worker: u64, report: CapacityReport) {
        self.receive_frame(
            worker,
            AgentFrame::Room {
                report,
                stamp_us: 0,
            },
        );
    }

    fn send_event(&mut self, event: DispatchEvent) {
        self.actions = self.dispatcher.handle(self.now, [event]);
    }

    fn receive_frame(&mut self, worker: u64, frame: AgentFrame) {
        let link = LinkId(worker);
        self.send_event(DispatchEvent::Frame { link, frame });
    }

    fn end_run(&mut self, (worker, run): (u64, RunId), end: RunOutcome) {
        self.receive_frame(
            worker,
            AgentFrame::Ended {
                run,
                end,
                ran_ms: 50,
            },
        );
    }

    /// Advances the clock while all agents send heartbeats, and collects the actions.
    fn advance_ms(&mut self, span_ms: u64) {
        let mut actions = Vec::new();
        for _ in 0..span_ms / 20 {
            self.now = self.now.plus_ms(20);
            self.stamp_us += 1;
            let stamp_us = self.stamp_us;
            let links: Vec<LinkId> = self.dispatcher.by_link.keys().copied().collect();
            let heartbeats = links.into_iter().map(|link| DispatchEvent::Frame {
                link,
                frame: AgentFrame::Beat {
                    stamp_us,
                    document_revision: 0,
                    queue_levels: Vec::new(),
                },
            });
            let events: Vec<_> = heartbeats.chain([DispatchEvent::Tick]).collect();
            actions.extend(self.dispatcher.handle(self.now, events));
        }
        self.actions = actions;
    }

    /// Start orders, as worker and run.
    fn starts(&self) -> Vec<(u64, RunId)> {
        let starts = self.actions.iter().filter_map(|action| match action {
            DispatchAction::Send {
                link,
                frame: EntryFrame::Start(StartOrder { run, .. }),
            } => Some((link.0, *run)),
            _ => None,
        });
        starts.collect()
    }

    fn stops(&self) -> usize {
        let is_stop = |action: &&DispatchAction| {
            matches!(
                action,
                DispatchAction::Send {
                    frame: EntryFrame::Stop { .. },
                    ..
                }
            )
        };
        self.actions.iter().filter(is_stop).count()
    }

    fn outcomes(&self) -> Vec<JobOutcome> {
        let outcomes = self.actions.iter().filter_map(|action| match action {
            DispatchAction::Reply { outcome, .. } => Some(*outcome),
            _ => None,
        });
        outcomes.collect()
    }

    fn submit(&mut self, submission: Submission) -> Vec<(u64, RunId)> {
        self.send_event(DispatchEvent::Submit(submission));
        self.starts()
    }
}

#[test]
fn a_job_is_completed_with_its_last_task() {
    let mut dispatcher = TestDispatcher::with_workers(2);
    let starts = dispatcher.submit(job(1, 0, vec![step(3, 50)]));
    assert_eq!(starts.len(), 3);
    dispatcher.end_run(starts[0], RunOutcome::Done);
    dispatcher.end_run(starts[1], RunOutcome::Done);
    assert!(dispatcher.outcomes().is_empty());
    dispatcher.end_run(starts[2], RunOutcome::Done);
    assert_eq!(dispatcher.outcomes(), [JobOutcome::Completed]);
}

#[test]
fn a_step_starts_after_the_steps_it_depends_on() {
    let mut dispatcher = TestDispatcher::with_workers(2);
    let second = StepSpec {
        after: vec![0],
        ..step(1, 50)
    };
    let starts = dispatcher.submit(job(1, 0, vec![step(2, 50), second]));
    assert_eq!(starts.len(), 2);
    dispatcher.end_run(starts[0], RunOutcome::Done);
    assert!(dispatcher.starts().is_empty());
    dispatcher.end_run(starts[1], RunOutcome::Done);
    assert_eq!(dispatcher.starts()[0].1.task.step, 1);
}

#[test]
fn a_task_that_fails_too_often_fails_its_job() {
    let mut dispatcher = TestDispatcher::with_workers(3);
    let mut starts = dispatcher.submit(job(1, 0, vec![step(1, 50)]));
    for attempt in 1..=3 {
        assert_eq!(starts[0].1.number, attempt);
        dispatcher.end_run(starts[0], RunOutcome::Failed);
        starts = dispatcher.starts();
    }
    assert_eq!(dispatcher.outcomes(), [JobOutcome::Failed]);
    assert!(starts.is_empty());
}

macro_rules! refusal_cases {
    ($($name:ident: $change:expr => $reason:ident;)+) => {
        $(
            #[test]
            fn $name() {
                let mut dispatcher = TestDispatcher::with_workers(1);
                let mut submission = job(1, 0, vec![step(1, 50)]);
                let change: fn(&mut Submission) = $change;
                change(&mut submission);
                assert!(dispatcher.submit(submission).is_empty());
                let outcomes = dispatcher.outcomes();
                let reason = RefusalReason::$reason;
                assert!(matches!(outcomes[..], [JobOutcome::NotRun { reason: r, .. }] if r == reason));
            }
        )+
    };
}

refusal_cases! {
    a_durable_job_is_refused:
        |job| job.request.unsupported = Some(UnsupportedFeature::Durable) => Unsupported;
    a_job_without_tasks_is_refused: |job| job.request.steps.clear() => BadJob;
    a_step_that_waits_for_itself_is_refused: |job| job.request.steps[0].after.push(0) => BadJob;
    a_queue_that_needs_advice_is_refused: |job| {
        let mut route = Route::clone(&job.route);
        route.needs_advice = true;
        job.route = Arc::new(route);
    } => Unsupported;
}

/// A copy of a job that was given up must not run beside the original: it starts when the stopped
/// runs have ended, with higher run numbers.
#[test]
fn a_copy_waits_for_the_stopped_runs_of_the_original() {
    let mut dispatcher = TestDispatcher::with_workers(2);
    let starts = dispatcher.submit(job(1, 0, vec![step(1, 900)]));
    dispatcher.send_event(DispatchEvent::ClientGone {
        waiter: WaiterId(1),
    });
    assert_eq!(dispatcher.stops(), 1);
    let mut copy = job(1, 0, vec![step(1, 900)]);
    copy.waiter = WaiterId(2);
    assert!(dispatcher.submit(copy).is_empty());
    dispatcher.end_run(starts[0], RunOutcome::Stopped);
    assert_eq!(dispatcher.starts()[0].1.number, 2);
}

/// Without its session, a run may execute until its lease expires. The task must not start
/// elsewhere before that.
#[test]
fn a_run_with_unknown_outcome_is_not_restarted_too_early() {
    let mut dispatcher = TestDispatcher::with_workers(2);
    let starts = dispatcher.submit(job(1, 0, vec![step(1, 900)]));
    let (disconnected, _) = starts[0];
    dispatcher.send_event(DispatchEvent::LinkLost {
        link: LinkId(disconnected),
    });
    let runs_stopped_after_ms = RunLimits::for_resend(1_300, 50).runs_stopped_after_ms();
    dispatcher.advance_ms(runs_stopped_after_ms - 20);
    assert!(dispatcher.starts().is_empty());
    dispatcher.advance_ms(40);
    assert_eq!(dispatcher.starts().len(), 1);
    assert_ne!(dispatcher.starts()[0].0, disconnected);
}

/// A hello states that no earlier run executes any more, so the task restarts without waiting for
/// the lease.
#[test]
fn a_hello_resolves_runs_with_unknown_outcome() {
    let mut dispatcher = TestDispatcher::with_workers(1);
    dispatcher.submit(job(1, 0, vec![step(1, 900)]));
    dispatcher.send_event(DispatchEvent::LinkLost { link: LinkId(1) });
    dispatcher.advance_ms(100);
    dispatcher.connect(1);
    assert_eq!(dispatcher.starts()[0].1.number, 2);
}

/// Hellos can be read out of order after a suspension. An outdated one says nothing about runs on
/// the newer session.
#[test]
fn an_outdated_hello_is_rejected() {
    let mut dispatcher = TestDispatcher::with_workers(1);
    dispatcher.submit(job(1, 0, vec![step(1, 900)]));
    let old = AgentFrame::Hello {
        agent: "agent-1".to_owned(),
        stamp_us: 1,
    };
    dispatcher.receive_frame(9, old);
    assert!(dispatcher.starts().is_empty());
    assert!(
        dispatcher
            .actions
            .contains(&DispatchAction::Close { link: LinkId(9) })
    );
}

/// Without any agent, nothing can have started. The client gets "not run", which it can retry,
/// instead of "given up".
#[test]
fn a_job_without_any_agent_is_reported_as_not_run() {
    let mut dispatcher = TestDispatcher::with_seed(1);
    dispatcher.submit(job(1, 0, vec![step(1, 900)]));
    dispatcher.advance_ms(1_000);
    let outcomes = dispatcher.outcomes();
    let reason = RefusalReason::Isolated;
    assert!(
        matches!(outcomes[..], [JobOutcome::NotRun { reason: r, retry_after_ms }] if r == reason && retry_after_ms > 0)
    );
}

/// Clients may have submitted the jobs of a suspended entry elsewhere, so it must not go on with
/// them, and it starts nothing before it has read pending disconnects.
#[test]
fn an_entry_gives_up_its_jobs_after_a_suspension() {
    let mut dispatcher = TestDispatcher::with_workers(2);
    dispatcher.submit(job(1, 0, vec![step(1, 900)]));
    dispatcher.now = dispatcher.now.plus_ms(2_000);
    dispatcher.send_event(DispatchEvent::Tick);
    assert_eq!(
        dispatcher.outcomes(),
        [JobOutcome::GivenUp(GiveUpReason::Isolated)]
    );
    dispatcher.connect(1);
    assert!(dispatcher.submit(job(2, 0, vec![step(1, 50)])).is_empty());
    dispatcher.advance_ms(120);
    assert_eq!(dispatcher.starts().len(), 1);
}

#[test]
fn nothing_is_placed_in_an_evacuated_zone() {
    let mut dispatcher = TestDispatcher::with_workers(2);
    dispatcher.send_event(DispatchEvent::EvacuatedZones(EvacuatedZones {
        version: 5,
        evacuated: BTreeSet::from(["south".to_owned()]),
    }));
    let starts = dispatcher.submit(job(1, 0, vec![step(4, 50)]));
    assert!(starts.iter().all(|(worker, _)| *worker == 2), "{starts:?}");
    assert_eq!(starts.len(), 2);
}

/// Urgent tasks get the next free capacity, ahead of less urgent ones that wait longer.
#[test]
fn urgent_tasks_go_first() {
    let mut dispatcher = TestDispatcher::with_workers(1);
    let running = dispatcher.submit(job(1, 2, vec![step(2, 900)]));
    dispatcher.submit(job(2, 2, vec![step(1, 900)]));
    dispatcher.submit(job(3, 0, vec![step(1, 60)]));
    dispatcher.end_run(running[0], RunOutcome::Done);
    dispatcher.report_capacity(1, 1, 2);
    assert_eq!(dispatcher.starts()[0].1.task.job, JobId::of_number(3));
}

/// Under overload a begun job must not wait behind an earlier latest start until it can't finish in
/// time.
#[test]
fn a_begun_job_goes_before_a_new_one() {
    let mut dispatcher = TestDispatcher::with_workers(1);
    let begun = dispatcher.submit(job(1, 0, vec![step(4, 400)]));
    assert_eq!(begun.len(), 2);
    assert!(dispatcher.submit(job(2, 0, vec![step(2, 100)])).is_empty());
    dispatcher.end_run(begun[0], RunOutcome::Done);
    dispatcher.report_capacity(1, 1, 2);
    let next = dispatcher.starts();
    assert_eq!(next[0].1.task.job, JobId::of_number(1));
}

/// Refusing a job only when it is late costs its client the time to retry.
#[test]
fn jobs_that_cannot_start_in_time_are_refused_at_once() {
    let mut dispatcher = TestDispatcher::with_workers(3);
    assert_eq!(dispatcher.submit(job(1, 0, vec![step(6, 500)])).len(), 6);
    dispatcher.submit(job(2, 0, vec![step(4, 100)]));
    assert!(dispatcher.outcomes().is_empty());
    for number in 3..6 {
        dispatcher.submit(job(number, 0, vec![step(4, 100)]));
        let outcomes = dispatcher.outcomes();
        assert!(
            matches!(outcomes[..], [JobOutcome::NotRun { retry_after_ms, .. }] if retry_after_ms >= 1_000),
            "{outcomes:?}"
        );
    }
}

/// Jobs that will start in time must not be displaced by later ones; those that won't are refused
/// at once.
#[test]
fn a_burst_of_long_jobs_is_accepted_as_far_as_it_starts_in_time() {
    let mut dispatcher = TestDispatcher::with_workers(3);
    let running = dispatcher.submit(job(1, 0, vec![step(6, 500)]));
    let long_job = |number| {
        let mut long_job = job(number, 0, vec![step(1, 900)]);
        long_job.time_left_ms = 6_000;
        long_job
    };
    dispatcher.submit(long_job(2));
    assert!(dispatcher.outcomes().is_empty());
    dispatcher.submit(long_job(3));
    assert!(dispatcher.outcomes().is_empty());
    for number in 4..8 {
        dispatcher.submit(long_job(number));
        assert!(matches!(
            dispatcher.outcomes()[..],
            [JobOutcome::NotRun { .. }]
        ));
    }
    let mut started = BTreeSet::new();
    for run in &running[..2] {
        dispatcher.end_run(*run, RunOutcome::Done);
        dispatcher.report_capacity(run.0, 1, 2);
        started.extend(dispatcher.starts().iter().map(|(_, run)| run.task.job));
    }
    assert_eq!(
        started,
        BTreeSet::from([JobId::of_number(2), JobId::of_number(3)])
    );
}

/// An estimate that leaves less slack than the usual margin must not lead to a refusal while no
/// work is ahead.
#[test]
fn a_job_with_a_tight_objective_is_accepted() {
    let mut dispatcher = TestDispatcher::with_workers(1);
    let running = dispatcher.submit(job(1, 0, vec![step(2, 100)]));
    let mut tight = job(2, 0, vec![step(1, 1_000)]);
    tight.route = Arc::new(Route {
        stretch: 1.1,
        target_ms: 0,
        ..route(0).as_ref().clone()
    });
    dispatcher.submit(tight);
    assert!(dispatcher.outcomes().is_empty());
    dispatcher.end_run(running[0], RunOutcome::Done);
    dispatcher.report_capacity(1, 1, 2);
    assert_eq!(dispatcher.starts()[0].1.task.job, JobId::of_number(2));
}

/// A job that starts in time must not be refused, although no capacity is free.
#[test]
fn a_job_that_can_wait_is_not_refused() {
    let mut dispatcher = TestDispatcher::with_workers(3);
    let starts = dispatcher.submit(job(1, 0, vec![step(6, 500)]));
    dispatcher.submit(job(2, 0, vec![step(1, 900)]));
    assert!(dispatcher.outcomes().is_empty());
    dispatcher.end_run(starts[0], RunOutcome::Done);
    dispatcher.report_capacity(starts[0].0, 1, 2);
    assert_eq!(dispatcher.starts()[0].1.task.job, JobId::of_number(2));
}

/// An agent must not keep capacity reserved for an entry that has nothing to start there.
#[test]
fn reserved_capacity_that_is_not_needed_is_declined_once() {
    let mut dispatcher = TestDispatcher::with_workers(2);
    let starts = dispatcher.submit(job(1, 0, vec![step(1, 400)]));
    let (worker, _) = starts[0];
    dispatcher.end_run(starts[0], RunOutcome::NotStarted(NotStartedReason::NoRoom));
    let declines = |dispatcher: &TestDispatcher| {
        let is_decline = |action: &&DispatchAction| matches!(action, DispatchAction::Send { link, frame: EntryFrame::Decline } if link.0 == worker);
        dispatcher.actions.iter().filter(is_decline).count()
    };
    dispatcher.report_capacity(worker, 0, 1);
    assert_eq!(declines(&dispatcher), 0);
    dispatcher.report_capacity(worker, 1, 2);
    assert_eq!(declines(&dispatcher), 1);
    dispatcher.report_capacity(worker, 2, 2);
    assert_eq!(declines(&dispatcher), 0);
}

/// An entry with more clients than others refused jobs that would have started in time.
#[test]
fn a_larger_share_accepts_more_jobs() {
    let accepted = |share_permille: u16| {
        let mut dispatcher = TestDispatcher::with_seed(1);
        for worker in 1..=10 {
            dispatcher.connect_with(worker, WORKER_CORES, share_permille);
            // Other entries use the worker.
            dispatcher.report_share(worker, 0, share_permille);
        }
        dispatcher.end_discovery();
        let refused = (1..=40).filter(|number| {
            dispatcher.submit(job(*number, 0, vec![step(1, 100)]));
            !dispatcher.outcomes().is_empty()
        });
        40 - refused.count()
    };
    let (small, large) = (accepted(100), accepted(400));
    assert!(large >= 2 * small, "{large} and {small} jobs");
}

/// A job that can't start in time any more must be refused with a retry time before its client
/// stops waiting.
#[test]
fn a_job_that_misses_its_latest_start_is_refused_early() {
    let mut dispatcher = TestDispatcher::with_workers(1);
    dispatcher.submit(job(1, 0, vec![step(2, 2_900)]));
    dispatcher.submit(job(2, 0, vec![step(1, 60)]));
    // The objective is 156 ms, of which the task with its margin takes 75.
    dispatcher.advance_ms(60);
    assert!(dispatcher.outcomes().is_empty());
    dispatcher.advance_ms(40);
    let outcomes = dispatcher.outcomes();
    assert!(
        matches!(
            outcomes[..],
            [JobOutcome::NotRun {
                reason: RefusalReason::Overloaded,
                retry_after_ms: 1..
            }]
        ),
        "{outcomes:?}"
    );
}

/// A limit on the number of ejected workers must not let the remaining failing ones use up the
/// attempts of tasks.
#[test]
fn all_failing_workers_are_ejected_while_most_are_healthy() {
    let mut dispatcher = TestDispatcher::with_workers(11);
    let mut failed = 0;
    for number in 1..=300 {
        dispatcher.now = dispatcher.now.plus_ms(2);
        for (worker, run) in dispatcher.submit(job(number, 0, vec![step(1, 100)])) {
            let fails = worker <= 5;
            failed += u32::from(fails);
            let outcome = if fails {
                RunOutcome::Failed
            } else {
                RunOutcome::Done
            };
            dispatcher.end_run((worker, run), outcome);
            dispatcher.report_capacity(worker, WORKER_CORES, 1_000);
            for (worker, run) in dispatcher.starts() {
                dispatcher.end_run((worker, run), RunOutcome::Done);
                dispatcher.report_capacity(worker, WORKER_CORES, 1_000);
            }
        }
    }
    // Three each, within the first ejection period of one second.
    assert!(failed <= 5 * 3, "{failed} tasks failed");
}

/// A job that its client has submitted before: most of its time is used up.
fn resubmitted_job(number: u64) -> Submission {
    let mut again = job(number, 0, vec![step(1, 100)]);
    again.time_left_ms = 1_000;
    again
}

/// A resubmitted job is late already. If it went before new jobs, it would make them late, too.
#[test]
fn resubmitted_jobs_do_not_delay_new_ones() {
    let mut dispatcher = TestDispatcher::with_workers(1);
    let running = dispatcher.submit(job(1, 0, vec![step(2, 100)]));
    dispatcher.submit(resubmitted_job(2));
    assert!(matches!(
        dispatcher.outcomes()[..],
        [JobOutcome::NotRun { .. }]
    ));
    dispatcher.submit(job(3, 0, vec![step(1, 100)]));
    assert!(dispatcher.outcomes().is_empty());
    dispatcher.end_run(running[0], RunOutcome::Done);
    dispatcher.report_capacity(1, 1, 2);
    assert_eq!(dispatcher.starts()[0].1.task.job, JobId::of_number(3));
}

/// A resubmitted job still has a waiting client and is served if capacity is free.
#[test]
fn a_resubmitted_job_runs_where_capacity_is_free() {
    let mut dispatcher = TestDispatcher::with_workers(1);
    dispatcher.submit(job(1, 0, vec![step(1, 100)]));
    assert_eq!(dispatcher.submit(resubmitted_job(2)).len(), 1);
}

/// If all clients of a route wait for less than its timeout, none of their jobs counts as
/// resubmitted.
#[test]
fn a_long_route_timeout_does_not_mark_jobs_as_resubmitted() {
    let mut dispatcher = TestDispatcher::with_workers(1);
    assert_eq!(route(0).timeout_ms, 5_000);
    let running = dispatcher.submit(job(1, 0, vec![step(2, 100)]));
    dispatcher.submit(job(2, 0, vec![step(1, 100)]));
    assert!(dispatcher.outcomes().is_empty());
    dispatcher.end_run(running[0], RunOutcome::Done);
    dispatcher.report_capacity(1, 1, 2);
    assert_eq!(dispatcher.starts()[0].1.task.job, JobId::of_number(2));
}

/// A stalled worker that looks healthy must not hold its tasks until the client's deadline. The
/// task restarts only after the agent has reported the end of the run.
#[test]
fn an_overdue_run_is_stopped_and_restarted_elsewhere() {
    let mut dispatcher = TestDispatcher::with_workers(2);
    let starts = dispatcher.submit(job(1, 0, vec![step(1, 100)]));
    dispatcher.advance_ms(380);
    assert_eq!(dispatcher.stops(), 0);
    dispatcher.advance_ms(40);
    assert_eq!((dispatcher.stops(), dispatcher.starts().len()), (1, 0));
    dispatcher.end_run(starts[0], RunOutcome::Stopped);
    assert_ne!(dispatcher.starts()[0].0, starts[0].0);
}

/// Clients with open connections submit jobs until the load balancer closes them, and must not be
/// refused before that.
#[test]
fn a_leaving_entry_accepts_jobs_until_its_connections_close() {
    let mut dispatcher = TestDispatcher::with_workers(1);
    dispatcher.send_event(DispatchEvent::Shutdown);
    dispatcher.advance_ms(2_900);
    assert_eq!(dispatcher.submit(job(1, 0, vec![step(1, 50)])).len(), 1);
    dispatcher.advance_ms(200);
    assert!(dispatcher.submit(job(2, 0, vec![step(1, 50)])).is_empty());
    let outcomes = dispatcher.outcomes();
    let reason = RefusalReason::Leaving;
    assert!(matches!(outcomes[..], [JobOutcome::NotRun { reason: r, .. }] if r == reason));
}

/// Longest duration in a job or route, in milliseconds.
const LONGEST_MS: u64 = 365 * 24 * 3_600 * 1_000;

/// Figures of another writer's report, or of a client's job, must not end the process.
#[test]
fn the_largest_figures_are_handled() {
    let mut dispatcher = TestDispatcher::with_workers(2);
    dispatcher.connect_with(3, u32::MAX / 1_000, 1_000);
    let largest = CapacityReport {
        free: Resources {
            cpu_milli: u32::MAX,
            memory_mb: u32::MAX,
            accelerators: u32::MAX,
        },
        starts_seen: u32::MAX,
        share_permille: u16::MAX,
        slowness_permille: u16::MAX,
    };
    dispatcher.receive_report(3, largest);
    let steps = vec![step(3, LONGEST_MS), step(2, 50)];
    dispatcher.submit(job(1, 0, steps));
    let mut patient = job(2, 0, vec![step(2, LONGEST_MS)]);
    patient.time_left_ms = LONGEST_MS;
    let route = Route {
        timeout_ms: LONGEST_MS,
        target_ms: LONGEST_MS,
        stretch: 1e6,
        ..Route::clone(&patient.route)
    };
    patient.route = Arc::new(route);
    dispatcher.submit(patient);
    dispatcher.submit(job(3, 0, vec![step(1, 50)]));
    dispatcher.advance_ms(2_000);
}
