//! HTTP API for clients.

use {
    super::{dispatch_loop::LoopInput, process_log_event::ProcessLogEvent, state::EntryState},
    crate::{
        adapters::http::{HttpHandler, HttpRequest, HttpResponse},
        core::{
            dispatch::{
                DispatchEvent, GiveUpReason, JobOutcome, RefusalReason, Submission, WaiterId,
            },
            routes::{HttpLimits, Route},
            work::{JobId, JobNumber, QueueId},
        },
        platform::{ClientAction, ClientProtocol},
        ports::{Counter, DecisionLog, LogPriority, Metrics, log_decision},
    },
    async_trait::async_trait,
    std::{
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        sync::{mpsc, oneshot},
        time::Instant,
    },
};

/// Retry delay sent to clients while this entry has no configuration, in milliseconds.
const NOT_CONFIGURED_RETRY_MS: u64 = 1_000;
/// Time after the start of the process until which requests wait for the first configuration, in
/// milliseconds; it is read within this time unless the store is unavailable.
const CONFIG_WAIT_MS: u64 = 500;

/// Handles clients' requests and waits for the dispatcher's replies.
#[derive(Debug)]
pub(super) struct ClientApi {
    pub(super) state: Arc<EntryState>,
    pub(super) inputs: mpsc::UnboundedSender<LoopInput>,
    pub(super) metrics: Arc<dyn Metrics>,
    pub(super) decisions: Arc<dyn DecisionLog>,
    pub(super) next_waiter: AtomicU64,
    pub(super) started_at: Instant,
}

/// Notifies the dispatcher when a client disconnects before its reply.
#[derive(Debug)]
struct DisconnectGuard<'a> {
    waiter: WaiterId,
    inputs: &'a mpsc::UnboundedSender<LoopInput>,
    replied: bool,
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        if !self.replied {
            let event = DispatchEvent::ClientGone {
                waiter: self.waiter,
            };
            // The loop runs as long as the process.
            let _ = self.inputs.send(LoopInput::Event(event));
        }
    }
}

impl ClientApi {
    /// Submits a job whose request arrived at `arrived_at`.
    async fn submit(
        &self,
        http_request: &mut HttpRequest,
        number: JobNumber,
        route: &Route,
        arrived_at: Instant,
    ) -> HttpResponse {
        let body = std::mem::take(&mut http_request.body);
        let parsed = ClientProtocol::parse_job(&body);
        // The job waits long after its body has been parsed.
        drop(body);
        let request = match parsed {
            Ok(request) => request,
            Err(error) => {
                log::info!(job:% = number, error:% = error; "invalid job request");
                self.record_rejection(http_request, RefusalReason::BadJob.as_str());
                return ClientProtocol::bad_request();
            }
        };
        if let Some(feature) = request.unsupported {
            self.metrics.count(Counter::Refusals, feature.as_str());
        }
        let waiter = self.next_waiter();
        let (reply, outcome) = oneshot::channel();
        let time_left_ms = ClientProtocol::time_left_ms(http_request).unwrap_or(route.timeout_ms);
        let waited_ms = u64::try_from(arrived_at.elapsed().as_millis()).unwrap_or(u64::MAX);
        let submission = Submission {
            waiter,
            id: job_id(route, number),
            request,
            route: Arc::new(route.clone()),
            time_left_ms: time_left_ms.saturating_sub(waited_ms),
        };
        let mut guard = DisconnectGuard {
            waiter,
            inputs: &self.inputs,
            replied: false,
        };
        let sent = self.inputs.send(LoopInput::Submit { submission, reply });
        if sent.is_err() {
            log::warn!(job:% = number; "dispatcher is not running");
            return ClientProtocol::not_configured(NOT_CONFIGURED_RETRY_MS);
        }
        match outcome.await {
            Ok(outcome) => {
                guard.replied = true;
                ClientProtocol::outcome_response(outcome)
            }
            Err(_) => ClientProtocol::outcome_response(JobOutcome::GivenUp(GiveUpReason::Isolated)),
        }
    }

    /// Counts and logs a rejected request.
    fn record_rejection(&self, http_request: &HttpRequest, reason: &'static str) {
        self.metrics.count(Counter::Refusals, reason);
        let event = ProcessLogEvent::CallRefused {
            call: format!(
                "{} {}{}",
                http_request.method, http_request.host, http_request.path
            ),
            reason,
            config_version: self.state.config().map_or(0, |config| config.version),
        };
        log_decision(&*self.decisions, LogPriority::Routine, &event);
    }

    fn next_waiter(&self) -> WaiterId {
        WaiterId(self.next_waiter.fetch_add(1, Ordering::Relaxed))
    }

    async fn cancel(&self, id: JobId) -> HttpResponse {
        let waiter = self.next_waiter();
        let (reply, is_cancelled) = oneshot::channel();
        let sent = self.inputs.send(LoopInput::Cancel { waiter, id, reply });
        match (sent, is_cancelled.await) {
            (Ok(()), Ok(true)) => ClientProtocol::cancelled(),
            (Ok(()), Ok(false)) => ClientProtocol::no_job(),
            _ => ClientProtocol::not_configured(NOT_CONFIGURED_RETRY_MS),
        }
    }

    async fn pending(&self, route: &Route) -> HttpResponse {
        let (reply, pending_jobs) = oneshot::channel();
        let route = route.name.clone();
        let sent = self.inputs.send(LoopInput::CountPending { route, reply });
        match (sent, pending_jobs.await) {
            (Ok(()), Ok(jobs)) => ClientProtocol::pending(jobs),
            _ => ClientProtocol::not_configured(NOT_CONFIGURED_RETRY_MS),
        }
    }

    async fn route_request(&self, http_request: &mut HttpRequest) -> HttpResponse {
        let arrived_at = Instant::now();
        let wait_until = self.started_at + Duration::from_millis(CONFIG_WAIT_MS);
        let config = match self.state.config() {
            None => self.state.wait_for_config(wait_until).await,
            known => known,
        };
        let Some(config) = config else {
            self.record_rejection(http_request, "no_configuration");
            return ClientProtocol::not_configured(NOT_CONFIGURED_RETRY_MS);
        };
        let Some(route) = config.routes.find(&http_request.host, &http_request.path) else {
            self.record_rejection(http_request, "no_route");
            return ClientProtocol::no_route();
        };
        let subpath = http_request
            .path
            .get(route.path_prefix.len()..)
            .unwrap_or_default();
        match ClientProtocol::parse_action(&http_request.method, subpath) {
            ClientAction::Submit(number) => {
                self.submit(http_request, number, route, arrived_at).await
            }
            ClientAction::Cancel(number) => self.cancel(job_id(route, number)).await,
            ClientAction::Status(_) => ClientProtocol::no_job(),
            ClientAction::Pending => self.pending(route).await,
            ClientAction::Unknown => ClientProtocol::bad_request(),
        }
    }
}

/// The job with this number in the queue of a route.
fn job_id(route: &Route, number: JobNumber) -> JobId {
    JobId {
        queue: QueueId::new(&route.host, &route.path_prefix),
        number,
    }
}

#[async_trait]
impl HttpHandler for ClientApi {
    async fn handle(&self, mut http_request: HttpRequest) -> HttpResponse {
        let response = self.route_request(&mut http_request).await;
        if self.state.is_leaving() {
            // Closes the connection so that the client's next request goes to another entry.
            return response.with_header(http::header::CONNECTION, "close");
        }
        response
    }

    fn limits(&self) -> HttpLimits {
        self.state
            .config()
            .map(|config| config.limits)
            .unwrap_or_default()
    }
}
