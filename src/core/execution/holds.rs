//! What the worker's lists say.

use {
    super::{
        ExecutionAction, ExecutionLogEvent, Executor, HoldCall, HoldResponse, ListedEnd, ListedRun,
        run::StartState, worker_state::ClockReading,
    },
    crate::core::{
        link::{NotStartedReason, RunOutcome},
        time::Instant,
        work::TaskId,
    },
    std::collections::BTreeMap,
};

impl Executor {
    pub(super) fn on_hold_answered(&mut self, now: Instant, call: &HoldCall, answer: HoldResponse) {
        if call.wait_ms > 0
            && let Some(worker) = &mut self.worker
        {
            worker.watching_since = None;
        }
        match answer {
            HoldResponse::Lists {
                born_unix_ms,
                clock_ms,
                running,
                ended,
            } => {
                if !self.is_of_this_life(call, born_unix_ms) {
                    self.suspect_new_life(call, born_unix_ms);
                    return;
                }
                let overtaken = self.is_overtaken(clock_ms);
                self.read_clock(now, clock_ms);
                self.take_ends(now, &ended);
                self.take_running(now, call, &running, overtaken);
            }
            HoldResponse::Fenced => {
                self.note_worker_answer(now);
                if call.token >= self.token {
                    self.raise_token();
                }
            }
            HoldResponse::OtherWorker | HoldResponse::Unanswered => self.note_unanswered_look(now),
        }
    }

    /// Whether the lists are those of the life that is known.
    ///
    /// A worker may begin anew under its name, and its answers from before may come late. Its
    /// next report tells of the new life, so lists of any other are left aside.
    fn is_of_this_life(&self, call: &HoldCall, born_unix_ms: Option<u64>) -> bool {
        self.worker.as_ref().is_some_and(|worker| {
            let life = &worker.view.life;
            life.id == call.worker && born_unix_ms.is_none_or(|born| born == life.born_unix_ms)
        })
    }

    /// Gives a worker nothing more that has begun anew under its name, until its report comes.
    ///
    /// Its clock and its runs are others than those that are known, so a start's lease would be too long.
    fn suspect_new_life(&mut self, call: &HoldCall, born_unix_ms: Option<u64>) {
        let Some(worker) = &mut self.worker else {
            return;
        };
        let life = &worker.view.life;
        let is_newer = born_unix_ms.is_some_and(|born| born > life.born_unix_ms);
        if life.id == call.worker && is_newer && worker.ready {
            worker.ready = false;
            self.announce_worker();
        }
    }

    /// Whether lists were made before others that have been taken in.
    fn is_overtaken(&self, clock_ms: u64) -> bool {
        let clock = self.worker.as_ref().and_then(|worker| worker.clock);
        clock.is_some_and(|known| clock_ms < known.clock_ms)
    }

    fn read_clock(&mut self, now: Instant, clock_ms: u64) {
        let Some(worker) = &mut self.worker else {
            return;
        };
        worker.answered_at = now;
        worker.unanswered = 0;
        // Answers may overtake each other; the clock never runs back.
        if worker.clock.is_none_or(|known| clock_ms >= known.clock_ms) {
            worker.clock = Some(ClockReading { clock_ms, at: now });
        }
    }

    fn take_ends(&mut self, now: Instant, ended: &[ListedEnd]) {
        for listed in ended {
            let Some(worker) = &mut self.worker else {
                return;
            };
            if listed.sequence <= worker.ends_seen {
                continue;
            }
            worker.ends_seen = listed.sequence;
            let is_known = |number: u32| number == listed.number;
            if self
                .runs
                .get(&listed.task)
                .is_some_and(|run| is_known(run.number))
            {
                self.confirm(now, listed.task);
                self.end_run(now, listed.task, listed.end);
            }
        }
    }

    /// Notes that the worker has, or had, the run.
    fn confirm(&mut self, now: Instant, task: TaskId) {
        if let Some(run) = self.runs.get_mut(&task)
            && !matches!(run.start, StartState::Confirmed { .. })
        {
            run.start = StartState::Confirmed { at: now };
        }
    }

    /// Takes in what runs.
    ///
    /// Guards against stops for runs that have ended: answers on different connections overtake each other, and
    /// an older list still names what a newer one has told the end of. Only the newest tells strays.
    fn take_running(
        &mut self,
        now: Instant,
        call: &HoldCall,
        running: &[ListedRun],
        overtaken: bool,
    ) {
        let listed: BTreeMap<TaskId, u32> =
            running.iter().map(|run| (run.task, run.number)).collect();
        if overtaken {
            self.settle_runs(now, call, &listed);
            return;
        }
        let strays = self.stop_strays(&listed);
        self.settle_runs(now, call, &listed);
        self.end_first_look(call, strays);
    }

    /// Stops what runs at the worker and is not known here: what an earlier process of this agent
    /// started, or an order that was carried out after it had been settled.
    fn stop_strays(&mut self, listed: &BTreeMap<TaskId, u32>) -> usize {
        let runs = &self.runs;
        let is_stray = |(task, number): &(&TaskId, &u32)| {
            runs.get(*task).is_none_or(|run| run.number != **number)
        };
        let strays: Vec<(TaskId, u32)> = listed
            .iter()
            .filter(is_stray)
            .map(|(task, number)| (*task, *number))
            .collect();
        for (task, number) in &strays {
            self.log_event(ExecutionLogEvent::StrayRun {
                job: task.job.to_string(),
                task: task.to_string(),
                number: *number,
            });
            self.call_stop(*task, *number);
        }
        strays.len()
    }

    /// Settles runs by whether they are listed: unanswered starts, stops, and runs that are gone.
    fn settle_runs(&mut self, now: Instant, call: &HoldCall, listed: &BTreeMap<TaskId, u32>) {
        let mut over = Vec::new();
        for (task, run) in &mut self.runs {
            let is_listed = listed.get(task) == Some(&run.number);
            let stopped = run
                .stop
                .and_then(|stop| stop.confirmed_before)
                .is_some_and(|hold| call.sequence >= hold);
            match run.start {
                StartState::Unresolved { token, .. } if is_listed && token < call.token => {
                    run.start = StartState::Confirmed { at: now };
                }
                StartState::Unresolved { token, begun } if token < call.token => {
                    let end = if begun {
                        RunOutcome::Lost
                    } else {
                        RunOutcome::NotStarted(NotStartedReason::OrderLost)
                    };
                    over.push((*task, end));
                }
                StartState::Ordered | StartState::Unresolved { .. } => {}
                StartState::Confirmed { .. } if !is_listed && stopped => {
                    over.push((*task, RunOutcome::Stopped));
                }
                StartState::Confirmed { .. } => {}
            }
        }
        for (task, end) in over {
            self.end_run(now, task, end);
        }
    }

    /// Offers the worker once its lists show that nothing runs there from before.
    fn end_first_look(&mut self, call: &HoldCall, strays: usize) {
        let token = self.token;
        let Some(worker) = &mut self.worker else {
            return;
        };
        if worker.ready || strays > 0 || call.token < token {
            return;
        }
        worker.ready = true;
        let name = worker.view.life.id.clone();
        self.actions.push(ExecutionAction::StaleRunsStopped);
        self.log_event(ExecutionLogEvent::WorkerReady {
            worker: name,
            token,
        });
        self.announce_worker();
    }
}
