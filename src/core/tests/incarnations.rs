//! Faults that concern the identity of workers and agents: replacements, restarts and reports of other
//! writers.

use {
    super::{
        faults::{Fault, ForeignReport},
        simulation::{Event, LOAD_DURATION_MS, SLOTS_PER_WORKER, Simulation, WORKERS, worker_view},
    },
    crate::{
        core::{
            execution::{ExecutionEvent, LeavingWorker},
            work::WorkerIncarnation,
        },
        standin::WorkerModel,
    },
};

/// Reports of another writer in a series, which lasts one second.
const SERIES_LENGTH: u64 = 10;
/// Interval between the reports of a series, in milliseconds.
const SERIES_INTERVAL_MS: u64 = 100;

impl Simulation {
    /// Draws and schedules the faults that the setup asks for.
    pub(super) fn schedule_incarnation_faults(&mut self) {
        // Start times of faults at workers and agents.
        let mut disruptions = Vec::new();
        for _ in 0..self.setup.early_replacements {
            let fault = Fault::ReplaceWorker {
                worker: self.rng.index(WORKERS),
                drains: self.rng.percent_chance(50),
                overlap_ms: self.rng.between(0, 2_000),
            };
            disruptions.push(self.schedule_fault(fault));
        }
        for _ in 0..self.setup.returned_workers {
            let fault = Fault::ReturnWorker {
                worker: self.rng.index(WORKERS),
                down_ms: self.rng.between(50, 2_000),
                clock_back_ms: if self.rng.percent_chance(50) {
                    self.rng.between(1, 20_000)
                } else {
                    0
                },
            };
            disruptions.push(self.schedule_fault(fault));
        }
        for _ in 0..self.setup.double_restarts {
            let fault = Fault::RestartAgentTwice {
                agent: self.rng.index(WORKERS),
                gap_ms: self.rng.between(20, 400),
            };
            disruptions.push(self.schedule_fault(fault));
        }
        for _ in 0..self.setup.foreign_reports {
            let report = ForeignReport::Heartbeat {
                own_id: self.rng.percent_chance(50),
                is_later: self.rng.percent_chance(60),
                offset_ms: self.rng.between(1, 5_000),
            };
            self.schedule_foreign_reports(report, &disruptions);
        }
        for _ in 0..self.setup.foreign_leaves {
            let report = match self.rng.between(0, 3) {
                0 => ForeignReport::LeaveWithoutBorn,
                1 => ForeignReport::LeaveOfOther,
                _ => ForeignReport::LeaveOfEarlier {
                    offset_ms: self.rng.between(1, 5_000),
                },
            };
            self.schedule_foreign_reports(report, &disruptions);
        }
    }

    /// Schedules a fault at a random time; returns its host and time.
    fn schedule_fault(&mut self, fault: Fault) -> (usize, u64) {
        let at_ms = self.rng.between(1_500, 2_000 + LOAD_DURATION_MS);
        self.schedule_in_ms(at_ms, Event::StartFault(fault));
        let host = match fault {
            Fault::ReplaceWorker { worker, .. } | Fault::ReturnWorker { worker, .. } => worker,
            Fault::RestartAgentTwice { agent, .. } => agent,
            _ => 0,
        };
        (host, at_ms)
    }

    /// Schedules reports of another writer, half of them soon after a disruption of the same host.
    fn schedule_foreign_reports(&mut self, report: ForeignReport, disruptions: &[(usize, u64)]) {
        let (agent, at_ms) = if !disruptions.is_empty() && self.rng.percent_chance(50) {
            let (host, at_ms) = disruptions[self.rng.index(disruptions.len())];
            (host, at_ms + self.rng.between(0, 2_000))
        } else {
            let at_ms = self.rng.between(1_500, 2_000 + LOAD_DURATION_MS);
            (self.rng.index(WORKERS), at_ms)
        };
        let count = if self.rng.percent_chance(50) {
            1
        } else {
            SERIES_LENGTH
        };
        let fault = Fault::ForeignReports {
            agent,
            report,
            count,
        };
        self.schedule_in_ms(at_ms, Event::StartFault(fault));
    }

    pub(super) fn send_foreign_reports(&mut self, agent: usize, fault: Fault) {
        let Fault::ForeignReports { report, count, .. } = fault else {
            return;
        };
        for number in 0..count {
            let event = Event::ForeignReport { agent, report };
            self.schedule_in_ms(number * SERIES_INTERVAL_MS, event);
        }
    }

    /// Delivers a report of another writer, if the agent is up.
    pub(super) fn deliver_foreign_report(&mut self, agent: usize, report: ForeignReport) {
        let now_ms = self.unix_ms();
        let own = self.workers[agent].incarnation.clone();
        let event = match report {
            ForeignReport::Heartbeat {
                own_id,
                is_later,
                offset_ms,
            } => {
                let life = WorkerIncarnation {
                    id: if own_id { own.id } else { "other".to_owned() },
                    born_unix_ms: if is_later {
                        now_ms + offset_ms
                    } else {
                        own.born_unix_ms - offset_ms
                    },
                };
                ExecutionEvent::Heartbeat {
                    view: worker_view(agent, &life, false),
                    sequence: 1 + now_ms,
                }
            }
            ForeignReport::LeaveWithoutBorn => ExecutionEvent::WorkerLeaving(LeavingWorker {
                id: own.id,
                born_unix_ms: None,
            }),
            ForeignReport::LeaveOfOther => ExecutionEvent::WorkerLeaving(LeavingWorker {
                id: "other".to_owned(),
                born_unix_ms: Some(now_ms),
            }),
            ForeignReport::LeaveOfEarlier { offset_ms } => {
                ExecutionEvent::WorkerLeaving(LeavingWorker {
                    id: own.id,
                    born_unix_ms: Some(own.born_unix_ms - offset_ms),
                })
            }
        };
        self.trace(format!("agent {agent}: receives {event:?}"));
        self.handle_agent_event(agent, event);
    }

    /// Starts the replacement of a worker, which reports at once.
    pub(super) fn start_replacement(&mut self, worker: usize, fault: Fault) {
        let Fault::ReplaceWorker {
            drains, overlap_ms, ..
        } = fault
        else {
            return;
        };
        if !self.worker_alive[worker] || self.replacements.contains_key(&worker) {
            return;
        }
        self.workers[worker].draining |= drains;
        let born_unix_ms = self.unix_ms();
        let id = format!("w{worker}-{born_unix_ms}");
        let slow_permille = self.rng.between(0, 21);
        let model = WorkerModel::new(
            self.now,
            id.clone(),
            born_unix_ms,
            slow_permille,
            SLOTS_PER_WORKER,
        );
        self.replacements.insert(worker, model);
        self.report_replacement(worker);
        self.schedule_in_ms(overlap_ms, Event::TakeOver { worker, id });
    }

    /// Sends a heartbeat of the replacement, if the worker is being replaced.
    pub(super) fn report_replacement(&mut self, worker: usize) {
        let Some(model) = self.replacements.get_mut(&worker) else {
            return;
        };
        model.reports += 1;
        let sequence = model.reports;
        let view = worker_view(worker, &model.incarnation, false);
        self.send_report(worker, 5, ExecutionEvent::Heartbeat { view, sequence });
    }

    /// Ends the earlier worker; its replacement executes calls from now on.
    pub(super) fn take_over(&mut self, worker: usize, id: &str) {
        let Some(model) = self.replacements.remove(&worker) else {
            return;
        };
        self.advance_worker(worker);
        self.trace(format!("worker {worker}: {id} takes over"));
        self.workers[worker] = model;
        self.worker_alive[worker] = true;
    }

    /// Starts a worker again under its own id, at a time that may be earlier by its clock.
    pub(super) fn return_worker(&mut self, worker: usize, clock_back_ms: u64) {
        let now_ms = self.unix_ms();
        let mut life = self.workers[worker].incarnation.clone();
        let born_unix_ms = now_ms - clock_back_ms;
        // Two incarnations under one id never have the same start time.
        life.born_unix_ms = if born_unix_ms == life.born_unix_ms {
            born_unix_ms + 1
        } else {
            born_unix_ms
        };
        let slow_permille = self.rng.between(0, 21);
        self.trace(format!("worker {worker}: back as {life:?}"));
        self.workers[worker] = WorkerModel::new(
            self.now,
            life.id,
            life.born_unix_ms,
            slow_permille,
            SLOTS_PER_WORKER,
        );
        self.worker_alive[worker] = true;
        self.schedule_in_ms(1, Event::Heartbeat { worker });
    }

    /// Kills the agent; both of the following processes start within one second of its clock.
    pub(super) fn restart_agent_twice(&mut self, agent: usize, gap_ms: u64) {
        let until_next_second_ms = 1_000 - self.now.as_micros() / 1_000 % 1_000;
        let down_ms = until_next_second_ms + 10;
        let first = Fault::KillAgent { agent, down_ms };
        let second = Fault::KillAgent {
            agent,
            down_ms: gap_ms,
        };
        self.schedule_in_ms(0, Event::StartFault(first));
        self.schedule_in_ms(down_ms + gap_ms, Event::StartFault(second));
    }

    /// At the end, each agent must announce the worker that executes at its host.
    pub(super) fn check_workers_are_used(&mut self) {
        for worker in 0..WORKERS {
            let announced = self.announced_workers.get(&worker).cloned().flatten();
            let is_used = announced
                .as_ref()
                .is_some_and(|view| view.life == self.workers[worker].incarnation);
            if self.worker_alive[worker] && !is_used {
                let life = &self.workers[worker].incarnation;
                let what = format!("worker {worker} ({life:?}) is not used: {announced:?}");
                self.report.record_violation(what);
            }
        }
    }
}
