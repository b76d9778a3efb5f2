//! Hand-over of homes from a stopping agent to a successor.

use {
    super::{AgentHandle, home_loop::HomeInput, home_routes::Adoption},
    crate::{
        core::{
            home::{HomeEvent, HomeRecords},
            message::{PeerReply, PeerRequest},
            ticket::AgentId,
            time::Instant,
        },
        ports::{PeerError, PeerNetwork},
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        sync::{oneshot, watch},
        time::{sleep, timeout},
    },
};

const SUCCESSORS_TIMEOUT_MS: u64 = 2_000;
const RETRY_INTERVAL_MS: u64 = 20;
const OFFER_TIMEOUT_MS: u64 = 5_000;

impl AgentHandle {
    /// Adopts the home of a stopping agent; returns `false` if this process is also stopping.
    pub(crate) fn adopt(self: &Arc<Self>, records: HomeRecords) -> bool {
        let home = records.home;
        let adoption = self.homes.adopt(home, || {
            let (inputs, running) = self.starter.start_adopted(records);
            let agent = Arc::clone(self);
            tokio::spawn(async move {
                // The loop ends when all tickets have expired, or when the home has moved.
                if running.await.is_ok() && agent.homes.local_homes().contains(&home) {
                    agent.homes.remove(home);
                }
            });
            inputs
        });
        if adoption == Adoption::New {
            log::info!(home:? = home; "adopted home of a stopping agent");
            self.announce_now.notify_one();
        }
        adoption != Adoption::Rejected
    }

    /// Moves all homes of this process to successors that accept them before `deadline`.
    pub(crate) async fn hand_over_homes(self: &Arc<Self>, deadline: Instant) {
        self.homes.stop_adopting();
        let successors = self.wait_for_successors(deadline).await;
        for home in self.homes.local_homes() {
            self.hand_over(home, &successors, deadline).await;
        }
        // Announces at once that this process no longer owns any home.
        self.announce_now.notify_one();
    }

    async fn wait_for_successors(&self, deadline: Instant) -> Vec<SocketAddr> {
        let deadline = deadline.min(self.timer.now().plus_ms(SUCCESSORS_TIMEOUT_MS));
        loop {
            let successors = self.successors();
            if !successors.is_empty() || self.timer.now() >= deadline {
                return successors;
            }
            sleep(Duration::from_millis(RETRY_INTERVAL_MS)).await;
        }
    }

    async fn hand_over(
        self: &Arc<Self>,
        home: AgentId,
        successors: &[SocketAddr],
        deadline: Instant,
    ) {
        if successors.is_empty() {
            self.notify_home(HomeEvent::Shutdown);
            log::warn!(home:? = home; "no successor available; shutting down the home");
            return;
        }
        let Some((inputs, moved_to)) = self.homes.start_move(home) else {
            return;
        };
        let (reply, records) = oneshot::channel();
        if inputs.send(HomeInput::HandOver(reply)).is_err() {
            return;
        }
        let Ok(records) = records.await else {
            return;
        };
        for successor in successors {
            let network = self.starter.network.as_ref();
            let is_before_deadline = || self.timer.now() < deadline;
            match offer_home(network, *successor, &records, is_before_deadline).await {
                HandOverOutcome::Accepted => return self.finish_move(home, *successor, &moved_to),
                HandOverOutcome::Rejected => {}
                HandOverOutcome::Unknown => {
                    log::warn!(home:? = home, successor:% = successor; "hand-over outcome unknown: no reply from the successor");
                    return;
                }
            }
        }
        log::warn!(home:? = home; "no successor accepted the home; shutting it down");
        let (inputs, _) = self.starter.start_adopted(*records);
        // The receiver is dropped only when the process exits.
        let _ = inputs.send(HomeInput::Event(HomeEvent::Shutdown));
        self.homes.set_local(home, inputs);
    }

    fn finish_move(
        &self,
        home: AgentId,
        successor: SocketAddr,
        moved_to: &watch::Sender<Option<SocketAddr>>,
    ) {
        log::info!(home:? = home, successor:% = successor; "home handed over");
        moved_to.send_replace(Some(successor));
    }
}

/// Offers a home's records to one successor until the outcome is known or the deadline passes.
///
/// Once an offer may have arrived, only this successor is retried: a second owner of the home
/// would run its jobs twice. Adopting is idempotent. A rejection after a possible arrival proves
/// nothing, because a restarted process may have sent it.
pub(super) async fn offer_home(
    network: &dyn PeerNetwork,
    to: SocketAddr,
    records: &HomeRecords,
    is_before_deadline: impl Fn() -> bool,
) -> HandOverOutcome {
    let mut may_have_arrived = false;
    loop {
        let request = PeerRequest::Adopt(Box::new(records.clone()));
        match timeout(
            Duration::from_millis(OFFER_TIMEOUT_MS),
            network.call(to, request),
        )
        .await
        {
            Ok(Ok(PeerReply::Adopted)) => return HandOverOutcome::Accepted,
            Ok(Ok(_) | Err(PeerError::Unreachable(_))) if !may_have_arrived => {
                return HandOverOutcome::Rejected;
            }
            Ok(_) | Err(_) => may_have_arrived = true,
        }
        if !is_before_deadline() {
            return HandOverOutcome::Unknown;
        }
        sleep(Duration::from_millis(RETRY_INTERVAL_MS)).await;
    }
}

/// Outcome of a home's offer to one successor.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum HandOverOutcome {
    /// The successor owns the home.
    Accepted,
    /// The successor didn't adopt the home.
    Rejected,
    /// The successor may have adopted the home.
    Unknown,
}
