//! Exchanges digests with the other entries and notifies agents of opened and closed zones.

use {
    super::{ConfigStore, EntryState, InForce},
    crate::{
        core::message::{GateNotice, PeerEntry, PeerReply, PeerRequest},
        ports::{Counter, Metrics, PeerNetwork, TimerService},
    },
    std::{
        collections::BTreeSet,
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::{
        sync::Semaphore,
        time::{sleep, timeout},
    },
};

/// Interval of digests to each entry, in milliseconds.
const DIGEST_INTERVAL_MS: u64 = 500;
/// Delay before an early digest, in milliseconds; batches agents of a rack that leave together.
const BATCH_DELAY_MS: u64 = 20;
/// Timeout of a call, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 700;
/// Timeout of fetching a document from another entry, in milliseconds; an unresponsive connection
/// is closed earlier.
const FETCH_TIMEOUT_MS: u64 = 10_000;
const MAX_CONCURRENT_NOTICES: usize = 64;

/// Calls the other entries and agents.
#[derive(Debug)]
pub(crate) struct DigestExchange {
    pub(crate) state: Arc<EntryState>,
    pub(crate) config_store: Arc<ConfigStore>,
    pub(crate) network: Arc<dyn PeerNetwork>,
    pub(crate) timer: Arc<dyn TimerService>,
    pub(crate) metrics: Arc<dyn Metrics>,
    /// Entries with a call in flight; a slow entry gets no second call meanwhile.
    pub(crate) in_flight: Mutex<BTreeSet<SocketAddr>>,
    /// Held while the configuration is fetched.
    pub(crate) fetch_lock: tokio::sync::Mutex<()>,
}

impl DigestExchange {
    /// Sends digests to the other entries periodically, and early after a change.
    pub(crate) async fn send_digests(self: Arc<Self>) {
        let mut ticks = self.timer.subscribe(DIGEST_INTERVAL_MS);
        loop {
            tokio::select! {
                tick = ticks.recv() => if tick.is_none() { return },
                () = self.state.digest_wakeup.notified() => {
                    sleep(Duration::from_millis(BATCH_DELAY_MS)).await;
                }
            }
            for entry in self.state.other_entries() {
                if self.lock_in_flight().insert(entry.peer_addr) {
                    let exchange = Arc::clone(&self);
                    tokio::spawn(async move { exchange.send_digest(entry).await });
                }
            }
        }
    }

    async fn send_digest(&self, entry: PeerEntry) {
        let (digest, agent_digest) = self.state.build_digest(entry.entry);
        let requested_at = self.timer.now();
        let mut is_newer = false;
        let outcome = match self
            .call(entry.peer_addr, PeerRequest::Digest(digest))
            .await
        {
            Some(PeerReply::Digest(reply)) if reply.entry == entry.entry => {
                is_newer = self
                    .state
                    .handle_digest_reply(requested_at, &agent_digest, &reply);
                "answered"
            }
            // Another process listens at that address; its reply doesn't count.
            Some(_) => "other_process",
            None => "no_answer",
        };
        self.metrics.count(Counter::Digests, outcome);
        self.lock_in_flight().remove(&entry.peer_addr);
        // Digests to the entry continue meanwhile and keep this entry alive in its view.
        if is_newer && let Ok(_guard) = self.fetch_lock.try_lock() {
            self.fetch_configuration(entry.peer_addr).await;
        }
    }

    /// Fetches a newer configuration from another entry.
    ///
    /// During an outage of the platform, an entry grants no permits while it knows of a newer
    /// version elsewhere. Without this fetch, a change right before the outage that has reached
    /// only some entries would prevent permits for the whole outage.
    pub(super) async fn fetch_configuration(&self, from: SocketAddr) {
        let fetched = self.call_within(FETCH_TIMEOUT_MS, from, PeerRequest::Configuration);
        if let Some(PeerReply::Configuration(Some((head, text)))) = fetched.await {
            self.config_store.apply_forwarded(head, &text);
        }
    }

    async fn call(&self, to: SocketAddr, request: PeerRequest) -> Option<PeerReply> {
        self.call_within(CALL_TIMEOUT_MS, to, request).await
    }

    async fn call_within(
        &self,
        timeout_ms: u64,
        to: SocketAddr,
        request: PeerRequest,
    ) -> Option<PeerReply> {
        let call = self.network.call(to, request);
        let reply = timeout(Duration::from_millis(timeout_ms), call).await;
        reply.ok()?.ok()
    }

    fn lock_in_flight(&self) -> std::sync::MutexGuard<'_, BTreeSet<SocketAddr>> {
        self.in_flight
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Notifies agents whose worker a configuration change opens or closes.
    ///
    /// Without a notice, an agent of a closed worker may start tasks until its permit expires,
    /// seconds later.
    pub(crate) async fn send_gate_notices(self: Arc<Self>) {
        let permits = Arc::new(Semaphore::new(MAX_CONCURRENT_NOTICES));
        let mut previous: Option<InForce> = None;
        loop {
            self.state.gate_notice_wakeup.notified().await;
            let current = self.state.in_force();
            for (agent, notice) in self.state.gate_notices(previous.as_ref()) {
                let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
                    return;
                };
                let exchange = Arc::clone(&self);
                tokio::spawn(async move {
                    exchange.send_gate_notice(agent, notice).await;
                    drop(permit);
                });
            }
            previous = current;
        }
    }

    async fn send_gate_notice(&self, agent: SocketAddr, notice: GateNotice) {
        let reply = self.call(agent, PeerRequest::Gate(notice)).await;
        let outcome = if reply.is_some() { "told" } else { "no_answer" };
        self.metrics.count(Counter::GateNotices, outcome);
    }
}
