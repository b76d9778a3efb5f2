//! Demands: requests for slots, sent to runners when no free slot is known.

use {
    super::{Home, HomeAction, runner_link::RunnerLink},
    crate::core::{message::HomeFrame, ticket::AgentId, time::Instant},
};

/// Minimum number of runners that are sent a demand.
const MIN_FANOUT: usize = 3;
/// Time without an offer after which a demand no longer counts and further runners are sent one, in
/// milliseconds; a runner in a closed zone never makes an offer.
const DEMAND_TIMEOUT_MS: u64 = 100;
/// Minimum wait of the oldest task before demands are sent, in milliseconds; an outcome often
/// reports a free slot by then.
const DEMAND_DELAY_MS: u64 = 15;
/// Maximum number of jobs, oldest first, that the demand is computed from.
const MAX_JOBS_COUNTED: usize = 32;
/// Number of messages counted for one withdrawn demand or one unused offer.
const MESSAGES_PER_WITHDRAWAL: u16 = 2;

impl Home {
    /// Sends demands to runners while tasks wait for a slot, and withdraws them otherwise.
    ///
    /// Returns whether tasks wait.
    pub(super) fn update_demands(&mut self, now: Instant) -> bool {
        let Some((since, waiting)) = self.waiting_tasks() else {
            self.withdraw_demands();
            return false;
        };
        let waited_ms = now.millis_since(since);
        if waited_ms >= DEMAND_DELAY_MS || self.links.values().all(RunnerLink::is_idle) {
            self.send_demands(now, since, waiting);
        }
        true
    }

    fn send_demands(&mut self, now: Instant, since: Instant, waiting: usize) {
        let selected = self.select_runners(now, waiting);
        let Some(tasks) = waiting
            .checked_div(selected.len())
            .map(|tasks| tasks.max(1))
        else {
            return;
        };
        let tasks = u16::try_from(tasks).unwrap_or(u16::MAX);
        for runner in selected {
            let Some(link) = self.links.get_mut(&runner) else {
                continue;
            };
            link.demanded_tasks = tasks;
            link.demanded_at = now;
            self.actions.push(HomeAction::Send {
                runner,
                epoch: link.epoch,
                frame: HomeFrame::Demand {
                    tasks,
                    waited_ms: now.millis_since(since),
                },
            });
        }
    }

    /// Submission time of the oldest waiting job, and number of queued tasks in the oldest jobs.
    fn waiting_tasks(&self) -> Option<(Instant, usize)> {
        let mut jobs = self
            .waiting
            .iter()
            .filter_map(|key| self.running_job(*key))
            .filter(|job| !job.queued.is_empty())
            .take(MAX_JOBS_COUNTED)
            .peekable();
        let since = jobs.peek()?.submitted_at;
        Some((since, jobs.map(|job| job.queued.len()).sum()))
    }

    /// Candidates of the oldest job without a pending demand: preferred runners first, then those
    /// with the oldest reports, whose slots are most likely free by now.
    fn select_runners(&self, now: Instant, waiting: usize) -> Vec<AgentId> {
        let Some(job) = self
            .waiting
            .iter()
            .find_map(|key| self.running_job(*key).filter(|job| !job.queued.is_empty()))
        else {
            return Vec::new();
        };
        let usable_link = |runner: &AgentId| {
            self.links
                .get(runner)
                .filter(|link| link.is_usable(now) && link.view(now).free_slots == 0)
        };
        let mut without_demand: Vec<(bool, Instant, AgentId)> = Vec::new();
        let mut pending = 0;
        for runner in &job.candidates {
            match usable_link(runner) {
                Some(link) if link.demanded_tasks > 0 => {
                    let waited_ms = now.millis_since(link.demanded_at);
                    pending += usize::from(waited_ms < DEMAND_TIMEOUT_MS);
                }
                Some(link) => without_demand.push((!link.own, link.last_report_at, *runner)),
                None => {}
            }
        }
        without_demand.sort_unstable();
        let wanted = waiting.max(MIN_FANOUT).saturating_sub(pending);
        without_demand.truncate(wanted);
        without_demand
            .into_iter()
            .map(|(_, _, runner)| runner)
            .collect()
    }

    fn withdraw_demands(&mut self) {
        for (runner, link) in &mut self.links {
            let offered = link.offered_slots();
            if link.demanded_tasks == 0 && offered == 0 {
                continue;
            }
            let kind = if offered > 0 {
                "offer_unused"
            } else {
                "demand_withdrawn"
            };
            link.withdraw_demand();
            self.actions.push(HomeAction::Send {
                runner: *runner,
                epoch: link.epoch,
                frame: HomeFrame::Demand {
                    tasks: 0,
                    waited_ms: 0,
                },
            });
            self.actions.push(HomeAction::CountWasted {
                kind,
                messages: MESSAGES_PER_WITHDRAWAL,
            });
        }
    }
}
