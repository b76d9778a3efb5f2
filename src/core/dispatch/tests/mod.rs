//! Directed tests of the dispatcher; the seeded harness plays it with everything else.

mod several_entries;

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

/// Room of each worker, in tasks of one core.
const ROOM: u32 = 2;

/// A dispatcher with its clock and what it last wanted done.
struct Bench {
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
        id: JobId(number),
        request: JobRequest {
            spec: Arc::from("spec"),
            steps,
            unsupported: None,
        },
        route: route(priority),
        time_left_ms: 3_000,
    }
}

impl Bench {
    /// A dispatcher in touch with so many agents whose workers are free.
    fn with_workers(workers: u64) -> Self {
        let mut bench = Self::seeded(1);
        for worker in 1..=workers {
            bench.connect(worker);
        }
        bench
    }

    /// A dispatcher that knows no agent.
    fn seeded(seed: u64) -> Self {
        let limits = RunLimits::for_resend(1_300, 50);
        Self {
            dispatcher: Dispatcher::new(DispatchSettings { limits, seed }),
            now: Instant::from_millis(10_000),
            stamp_us: 1,
            actions: Vec::new(),
        }
    }

    fn connect(&mut self, worker: u64) {
        self.connect_with(worker, ROOM, 1);
    }

    /// Meets an agent of which so many entries know.
    fn connect_with(&mut self, worker: u64, cores: u32, entries: u16) {
        self.stamp_us += 1;
        let hello = AgentFrame::Hello {
            agent: format!("agent-{worker}"),
            stamp_us: self.stamp_us,
        };
        self.frame(worker, hello);
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
        self.frame(worker, AgentFrame::Worker(Some(view)));
        let report = CapacityReport {
            free: needs(cores),
            starts_seen: 0,
            entries,
        };
        self.frame(worker, AgentFrame::Room(report));
    }

    fn room(&mut self, worker: u64, cores: u32, starts_seen: u32) {
        let free = needs(cores);
        let report = CapacityReport {
            free,
            starts_seen,
            entries: 1,
        };
        self.frame(worker, AgentFrame::Room(report));
    }

    fn feed(&mut self, event: DispatchEvent) {
        self.actions = self.dispatcher.handle(self.now, [event]);
    }

    fn frame(&mut self, worker: u64, frame: AgentFrame) {
        let link = LinkId(worker);
        self.feed(DispatchEvent::Frame { link, frame });
    }

    fn end(&mut self, (worker, run): (u64, RunId), end: RunOutcome) {
        self.frame(
            worker,
            AgentFrame::Ended {
                run,
                end,
                ran_ms: 50,
            },
        );
    }

    /// Time passes while all agents keep in touch; all that was wanted meanwhile is kept.
    fn pass_ms(&mut self, span_ms: u64) {
        let mut wanted = Vec::new();
        for _ in 0..span_ms / 20 {
            self.now = self.now.plus_ms(20);
            self.stamp_us += 1;
            let stamp_us = self.stamp_us;
            let links: Vec<LinkId> = self.dispatcher.by_link.keys().copied().collect();
            let beats = links.into_iter().map(|link| DispatchEvent::Frame {
                link,
                frame: AgentFrame::Beat {
                    stamp_us,
                    document_revision: 0,
                },
            });
            let events: Vec<_> = beats.chain([DispatchEvent::Tick]).collect();
            wanted.extend(self.dispatcher.handle(self.now, events));
        }
        self.actions = wanted;
    }

    /// Orders to start, as worker and run.
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

    fn answers(&self) -> Vec<JobOutcome> {
        let answers = self.actions.iter().filter_map(|action| match action {
            DispatchAction::Reply { answer, .. } => Some(*answer),
            _ => None,
        });
        answers.collect()
    }

    fn submit(&mut self, submission: Submission) -> Vec<(u64, RunId)> {
        self.feed(DispatchEvent::Submit(submission));
        self.starts()
    }
}

#[test]
fn a_job_is_completed_with_its_last_task() {
    let mut bench = Bench::with_workers(2);
    let starts = bench.submit(job(1, 0, vec![step(3, 50)]));
    assert_eq!(starts.len(), 3);
    bench.end(starts[0], RunOutcome::Done);
    bench.end(starts[1], RunOutcome::Done);
    assert!(bench.answers().is_empty());
    bench.end(starts[2], RunOutcome::Done);
    assert_eq!(bench.answers(), [JobOutcome::Completed]);
}

#[test]
fn a_step_begins_after_those_that_it_names() {
    let mut bench = Bench::with_workers(2);
    let second = StepSpec {
        after: vec![0],
        ..step(1, 50)
    };
    let starts = bench.submit(job(1, 0, vec![step(2, 50), second]));
    assert_eq!(starts.len(), 2);
    bench.end(starts[0], RunOutcome::Done);
    assert!(bench.starts().is_empty());
    bench.end(starts[1], RunOutcome::Done);
    assert_eq!(bench.starts()[0].1.task.step, 1);
}

#[test]
fn a_task_that_fails_too_often_fails_its_job() {
    let mut bench = Bench::with_workers(3);
    let mut starts = bench.submit(job(1, 0, vec![step(1, 50)]));
    for attempt in 1..=3 {
        assert_eq!(starts[0].1.number, attempt);
        bench.end(starts[0], RunOutcome::Failed);
        starts = bench.starts();
    }
    assert_eq!(bench.answers(), [JobOutcome::Failed]);
    assert!(starts.is_empty());
}

macro_rules! refusal_cases {
    ($($name:ident: $change:expr => $reason:ident;)+) => {
        $(
            #[test]
            fn $name() {
                let mut bench = Bench::with_workers(1);
                let mut submission = job(1, 0, vec![step(1, 50)]);
                let change: fn(&mut Submission) = $change;
                change(&mut submission);
                assert!(bench.submit(submission).is_empty());
                let answers = bench.answers();
                let reason = RefusalReason::$reason;
                assert!(matches!(answers[..], [JobOutcome::NotRun { reason: r, .. }] if r == reason));
            }
        )+
    };
}

refusal_cases! {
    a_job_that_is_to_be_kept_is_refused:
        |job| job.request.unsupported = Some(UnsupportedFeature::Durable) => Unsupported;
    a_job_without_tasks_is_refused: |job| job.request.steps.clear() => BadJob;
    a_step_that_waits_for_itself_is_refused: |job| job.request.steps[0].after.push(0) => BadJob;
    a_queue_that_needs_advice_is_refused: |job| {
        let mut route = Route::clone(&job.route);
        route.needs_advice = true;
        job.route = Arc::new(route);
    } => Unsupported;
}

/// A client leaves. Its runs are stopped at once; a copy of the job that comes meanwhile begins when
/// they are over, with higher run numbers.
#[test]
fn a_copy_waits_for_the_runs_of_the_one_before() {
    let mut bench = Bench::with_workers(2);
    let starts = bench.submit(job(1, 0, vec![step(1, 900)]));
    bench.feed(DispatchEvent::ClientGone {
        waiter: WaiterId(1),
    });
    assert_eq!(bench.stops(), 1);
    let mut copy = job(1, 0, vec![step(1, 900)]);
    copy.waiter = WaiterId(2);
    assert!(bench.submit(copy).is_empty());
    bench.end(starts[0], RunOutcome::Stopped);
    assert_eq!(bench.starts()[0].1.number, 2);
}

/// An agent's session breaks while a task runs there. The task is not started elsewhere before the run is certainly
/// over, and then it is.
#[test]
fn a_run_in_doubt_is_waited_for() {
    let mut bench = Bench::with_workers(2);
    let starts = bench.submit(job(1, 0, vec![step(1, 900)]));
    let (lost, _) = starts[0];
    bench.feed(DispatchEvent::LinkLost { link: LinkId(lost) });
    let over_after_ms = RunLimits::for_resend(1_300, 50).runs_stopped_after_ms();
    bench.pass_ms(over_after_ms - 20);
    assert!(bench.starts().is_empty());
    bench.pass_ms(40);
    assert_eq!(bench.starts().len(), 1);
    assert_ne!(bench.starts()[0].0, lost);
}

/// The agent comes back before that and says hello, which tells that nothing runs any more.
#[test]
fn a_hello_settles_runs_in_doubt() {
    let mut bench = Bench::with_workers(1);
    bench.submit(job(1, 0, vec![step(1, 900)]));
    bench.feed(DispatchEvent::LinkLost { link: LinkId(1) });
    bench.pass_ms(100);
    bench.connect(1);
    assert_eq!(bench.starts()[0].1.number, 2);
}

/// An entry wakes after seconds and finds two hellos of one agent in its sockets. The older one is read last and
/// says nothing about what was ordered on the newer session.
#[test]
fn an_older_hello_is_refused() {
    let mut bench = Bench::with_workers(1);
    bench.submit(job(1, 0, vec![step(1, 900)]));
    let old = AgentFrame::Hello {
        agent: "agent-1".to_owned(),
        stamp_us: 1,
    };
    bench.frame(9, old);
    assert!(bench.starts().is_empty());
    assert!(
        bench
            .actions
            .contains(&DispatchAction::Close { link: LinkId(9) })
    );
}

/// An entry has met no agent for a second, after a power loss for all. Its clients hear that nothing of their jobs ran and when to
/// come back. It used to say that tasks may have run, which a client can't act on where a task must
/// not run twice.
#[test]
fn a_job_that_never_met_an_agent_has_not_run() {
    let mut bench = Bench::seeded(1);
    bench.submit(job(1, 0, vec![step(1, 900)]));
    bench.pass_ms(1_000);
    let answers = bench.answers();
    let reason = RefusalReason::Isolated;
    assert!(
        matches!(answers[..], [JobOutcome::NotRun { reason: r, retry_after_ms }] if r == reason && retry_after_ms > 0)
    );
}

/// An entry's host is suspended for seconds while jobs run. On waking it gives them up, since their clients may have
/// sent them elsewhere, and orders nothing before it has read who has gone.
#[test]
fn an_entry_that_wakes_gives_its_jobs_up() {
    let mut bench = Bench::with_workers(2);
    bench.submit(job(1, 0, vec![step(1, 900)]));
    bench.now = bench.now.plus_ms(2_000);
    bench.feed(DispatchEvent::Tick);
    assert_eq!(
        bench.answers(),
        [JobOutcome::GivenUp(GiveUpReason::Isolated)]
    );
    bench.connect(1);
    assert!(bench.submit(job(2, 0, vec![step(1, 50)])).is_empty());
    bench.pass_ms(120);
    assert_eq!(bench.starts().len(), 1);
}

#[test]
fn nothing_is_placed_in_a_zone_that_is_out() {
    let mut bench = Bench::with_workers(2);
    bench.feed(DispatchEvent::EvacuatedZones(EvacuatedZones {
        version: 5,
        evacuated: BTreeSet::from(["south".to_owned()]),
    }));
    let starts = bench.submit(job(1, 0, vec![step(4, 50)]));
    assert!(starts.iter().all(|(worker, _)| *worker == 2), "{starts:?}");
    assert_eq!(starts.len(), 2);
}

/// A burst fills all workers with long tasks, and an urgent job comes. It gets the next room, ahead of what
/// waits longer on a queue that is less urgent.
#[test]
fn urgent_tasks_go_first() {
    let mut bench = Bench::with_workers(1);
    let running = bench.submit(job(1, 2, vec![step(2, 900)]));
    bench.submit(job(2, 2, vec![step(1, 900)]));
    bench.submit(job(3, 0, vec![step(1, 60)]));
    bench.end(running[0], RunOutcome::Done);
    bench.room(1, 1, 2);
    assert_eq!(bench.starts()[0].1.task.job, JobId(3));
}

/// More work comes than can be done. A job of four tasks gets the two slots that are free, and another one that must start
/// sooner comes after it. The first goes on with the next slot: ordered by time alone it used to wait half done until its
/// answer was of no use, and what had run of it was in vain.
#[test]
fn a_job_that_has_begun_goes_before_one_that_has_not() {
    let mut bench = Bench::with_workers(1);
    let begun = bench.submit(job(1, 0, vec![step(4, 400)]));
    assert_eq!(begun.len(), 2);
    assert!(bench.submit(job(2, 0, vec![step(2, 100)])).is_empty());
    bench.end(begun[0], RunOutcome::Done);
    bench.room(1, 1, 2);
    let next = bench.starts();
    assert_eq!(next[0].1.task.job, JobId(1));
}

/// Three workers are full for half a second, and jobs come that must begin within a tenth of one. The first waits for its turn; those behind
/// it hear at once that they have not run, and when to come back. They used to be held until their answer was of no
/// use, and were refused then.
#[test]
fn what_will_not_get_its_turn_is_refused_at_once() {
    let mut bench = Bench::with_workers(3);
    assert_eq!(bench.submit(job(1, 0, vec![step(6, 500)])).len(), 6);
    bench.submit(job(2, 0, vec![step(4, 100)]));
    assert!(bench.answers().is_empty());
    for number in 3..6 {
        bench.submit(job(number, 0, vec![step(4, 100)]));
        let answers = bench.answers();
        assert!(
            matches!(answers[..], [JobOutcome::NotRun { retry_after_ms, .. }] if retry_after_ms >= 1_000),
            "{answers:?}"
        );
    }
}

/// The same full workers, and jobs of a second's work come together, each of which would wait for seconds. Those that begin in time are
/// kept, and the others hear at once: they used to be held for seconds, while all new work went before them, and were
/// refused in the end without a try.
#[test]
fn a_burst_of_long_jobs_is_kept_as_far_as_it_begins_in_time() {
    let mut bench = Bench::with_workers(3);
    let running = bench.submit(job(1, 0, vec![step(6, 500)]));
    let patient = |number| {
        let mut patient = job(number, 0, vec![step(1, 900)]);
        patient.time_left_ms = 6_000;
        patient
    };
    bench.submit(patient(2));
    assert!(bench.answers().is_empty());
    bench.submit(patient(3));
    assert!(bench.answers().is_empty());
    for number in 4..8 {
        bench.submit(patient(number));
        assert!(matches!(bench.answers()[..], [JobOutcome::NotRun { .. }]));
    }
    let mut started = BTreeSet::new();
    for run in &running[..2] {
        bench.end(*run, RunOutcome::Done);
        bench.room(run.0, 1, 2);
        started.extend(bench.starts().iter().map(|(_, run)| run.task.job));
    }
    assert_eq!(started, BTreeSet::from([JobId(2), JobId(3)]));
}

/// A queue with a tight objective: even a job that starts at once can hardly be in time. It is taken all the same where it finds room
/// behind nothing, and is not refused because its estimate leaves less than the usual margin.
#[test]
fn a_tight_objective_is_no_reason_to_refuse() {
    let mut bench = Bench::with_workers(1);
    let running = bench.submit(job(1, 0, vec![step(2, 100)]));
    let mut tight = job(2, 0, vec![step(1, 1_000)]);
    tight.route = Arc::new(Route {
        stretch: 1.1,
        target_ms: 0,
        ..route(0).as_ref().clone()
    });
    bench.submit(tight);
    assert!(bench.answers().is_empty());
    bench.end(running[0], RunOutcome::Done);
    bench.room(1, 1, 2);
    assert_eq!(bench.starts()[0].1.task.job, JobId(2));
}

/// The same full workers, and a job that has time: it waits and is served.
#[test]
fn what_has_time_to_wait_is_not_refused() {
    let mut bench = Bench::with_workers(3);
    let starts = bench.submit(job(1, 0, vec![step(6, 500)]));
    bench.submit(job(2, 0, vec![step(1, 900)]));
    assert!(bench.answers().is_empty());
    bench.end(starts[0], RunOutcome::Done);
    bench.room(starts[0].0, 1, 2);
    assert_eq!(bench.starts()[0].1.task.job, JobId(2));
}

/// An order is turned away and its task finds room elsewhere. When the first worker's agent offers room on that account, the
/// entry says once that it has nothing to start there.
#[test]
fn an_offer_that_is_not_needed_is_declined() {
    let mut bench = Bench::with_workers(2);
    let starts = bench.submit(job(1, 0, vec![step(1, 400)]));
    let (worker, _) = starts[0];
    bench.end(starts[0], RunOutcome::NotStarted(NotStartedReason::NoRoom));
    let declines = |bench: &Bench| {
        let is_decline = |action: &&DispatchAction| matches!(action, DispatchAction::Send { link, frame: EntryFrame::Decline } if link.0 == worker);
        bench.actions.iter().filter(is_decline).count()
    };
    bench.room(worker, 0, 1);
    assert_eq!(declines(&bench), 0);
    bench.room(worker, 1, 2);
    assert_eq!(declines(&bench), 1);
    bench.room(worker, 2, 2);
    assert_eq!(declines(&bench), 0);
}

/// All workers are busy for seconds. A job that waits is refused when it can't begin in time any more and there is no room, not when its answer
/// is of no use or its client stops waiting, and is told when to come back.
#[test]
fn a_job_that_did_not_begin_in_time_is_refused_early() {
    let mut bench = Bench::with_workers(1);
    bench.submit(job(1, 0, vec![step(2, 2_900)]));
    bench.submit(job(2, 0, vec![step(1, 60)]));
    // The objective is 156 ms; the task takes up to 75 of it.
    bench.pass_ms(60);
    assert!(bench.answers().is_empty());
    bench.pass_ms(40);
    let answers = bench.answers();
    assert!(
        matches!(
            answers[..],
            [JobOutcome::NotRun {
                reason: RefusalReason::Overloaded,
                retry_after_ms: 1..
            }]
        ),
        "{answers:?}"
    );
}

/// Five of eleven workers fail whatever they start, and are left alone one after the other as long as most others are sound. When only a
/// third could be, the next one went on failing a thousand tasks, and jobs whose tasks may fail once were lost.
#[test]
fn all_workers_that_fail_are_left_alone_while_most_are_sound() {
    let mut bench = Bench::with_workers(11);
    let mut failed = 0;
    for number in 1..=300 {
        bench.now = bench.now.plus_ms(2);
        for (worker, run) in bench.submit(job(number, 0, vec![step(1, 100)])) {
            let fails = worker <= 5;
            failed += u32::from(fails);
            let end = if fails {
                RunOutcome::Failed
            } else {
                RunOutcome::Done
            };
            bench.end((worker, run), end);
            bench.room(worker, ROOM, 1_000);
            for (worker, run) in bench.starts() {
                bench.end((worker, run), RunOutcome::Done);
                bench.room(worker, ROOM, 1_000);
            }
        }
    }
    // Three each, within the second for which they are left alone first.
    assert!(failed <= 5 * 3, "{failed} tasks failed");
}

/// A job that its client has sent before: most of the time that it can wait is used up.
fn sent_again(number: u64) -> Submission {
    let mut again = job(number, 0, vec![step(1, 100)]);
    again.time_left_ms = 1_000;
    again
}

/// All hosts lose power, and clients send their jobs again beside new ones. What was sent a second ago is late whatever is done for it;
/// taken for new, it went first, and the new jobs were late, too. The time that its client has left tells it.
#[test]
fn jobs_that_come_again_do_not_make_new_ones_late() {
    let mut bench = Bench::with_workers(1);
    let running = bench.submit(job(1, 0, vec![step(2, 100)]));
    bench.submit(sent_again(2));
    assert!(matches!(bench.answers()[..], [JobOutcome::NotRun { .. }]));
    bench.submit(job(3, 0, vec![step(1, 100)]));
    assert!(bench.answers().is_empty());
    bench.end(running[0], RunOutcome::Done);
    bench.room(1, 1, 2);
    assert_eq!(bench.starts()[0].1.task.job, JobId(3));
}

/// The same, and there is room: the client still waits for the answer and gets it.
#[test]
fn a_job_that_comes_again_is_served_where_there_is_room() {
    let mut bench = Bench::with_workers(1);
    bench.submit(job(1, 0, vec![step(1, 100)]));
    assert_eq!(bench.submit(sent_again(2)).len(), 1);
}

/// Clients of a queue wait for less than its time-out, all of them: none of their jobs counts as sent before.
#[test]
fn a_long_time_out_makes_no_job_one_that_comes_again() {
    let mut bench = Bench::with_workers(1);
    assert_eq!(route(0).timeout_ms, 5_000);
    let running = bench.submit(job(1, 0, vec![step(2, 100)]));
    bench.submit(job(2, 0, vec![step(1, 100)]));
    assert!(bench.answers().is_empty());
    bench.end(running[0], RunOutcome::Done);
    bench.room(1, 1, 2);
    assert_eq!(bench.starts()[0].1.task.job, JobId(2));
}

/// A worker stands still and looks healthy. Its run is stopped after four times its estimate, and starts
/// elsewhere only when the agent has said that it is over.
#[test]
fn a_run_that_stands_still_is_moved() {
    let mut bench = Bench::with_workers(2);
    let starts = bench.submit(job(1, 0, vec![step(1, 100)]));
    bench.pass_ms(380);
    assert_eq!(bench.stops(), 0);
    bench.pass_ms(40);
    assert_eq!((bench.stops(), bench.starts().len()), (1, 0));
    bench.end(starts[0], RunOutcome::Stopped);
    assert_ne!(bench.starts()[0].0, starts[0].0);
}

/// An entry is told to end. Clients whose connections are still open send it jobs until these are closed, three seconds
/// later, and are served. It used to refuse them for the last half second of that.
#[test]
fn an_entry_that_is_to_end_serves_until_its_connections_close() {
    let mut bench = Bench::with_workers(1);
    bench.feed(DispatchEvent::Shutdown);
    bench.pass_ms(2_900);
    assert_eq!(bench.submit(job(1, 0, vec![step(1, 50)])).len(), 1);
    bench.pass_ms(200);
    assert!(bench.submit(job(2, 0, vec![step(1, 50)])).is_empty());
    let answers = bench.answers();
    let reason = RefusalReason::Leaving;
    assert!(matches!(answers[..], [JobOutcome::NotRun { reason: r, .. }] if r == reason));
}
