//! Clients' calls.

use {
    super::{dispatch_loop::LoopInput, process_log_event::ProcessLogEvent, state::EntryState},
    crate::{
        adapters::http::{HttpHandler, HttpRequest, HttpResponse},
        core::{
            dispatch::{
                DispatchEvent, GiveUpReason, JobOutcome, RefusalReason, Submission, WaiterId,
            },
            routes::{HttpLimits, Route},
            work::JobId,
        },
        platform::{ClientAction, ClientProtocol},
        ports::{Counter, DecisionLog, LogPriority, Metrics, log_decision},
    },
    async_trait::async_trait,
    std::sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    tokio::sync::{mpsc, oneshot},
};

/// When to come back to an entry that has no configuration yet, in milliseconds: two of its tries to
/// read one.
const NOT_CONFIGURED_RETRY_MS: u64 = 1_000;

/// Takes clients' calls and waits for the dispatcher's answers.
#[derive(Debug)]
pub(super) struct Front {
    pub(super) state: Arc<EntryState>,
    pub(super) inputs: mpsc::UnboundedSender<LoopInput>,
    pub(super) metrics: Arc<dyn Metrics>,
    pub(super) decisions: Arc<dyn DecisionLog>,
    pub(super) next_waiter: AtomicU64,
}

/// Tells the dispatcher that a client's connection is gone, unless the answer came first.
#[derive(Debug)]
struct GoneGuard<'a> {
    waiter: WaiterId,
    inputs: &'a mpsc::UnboundedSender<LoopInput>,
    answered: bool,
}

impl Drop for GoneGuard<'_> {
    fn drop(&mut self) {
        if !self.answered {
            let event = DispatchEvent::ClientGone {
                waiter: self.waiter,
            };
            // The loop ends only with the process.
            let _ = self.inputs.send(LoopInput::Event(event));
        }
    }
}

impl Front {
    async fn submit(&self, call: &HttpRequest, id: JobId, route: &Route) -> HttpResponse {
        let request = match ClientProtocol::parse_job(call) {
            Ok(request) => request,
            Err(error) => {
                log::info!(job:% = id, error:% = error; "a job can't be read");
                self.turn_away(call, RefusalReason::BadJob.as_str());
                return ClientProtocol::bad_request();
            }
        };
        if let Some(feature) = request.unsupported {
            self.metrics.count(Counter::Refusals, feature.as_str());
        }
        let waiter = WaiterId(self.next_waiter.fetch_add(1, Ordering::Relaxed));
        let (answer, answered) = oneshot::channel();
        let submission = Submission {
            waiter,
            id,
            request,
            route: Arc::new(route.clone()),
            time_left_ms: ClientProtocol::time_left_ms(call).unwrap_or(route.timeout_ms),
        };
        let mut guard = GoneGuard {
            waiter,
            inputs: &self.inputs,
            answered: false,
        };
        let sent = self.inputs.send(LoopInput::Submit { submission, answer });
        if sent.is_err() {
            log::warn!(job:% = id; "the dispatcher has ended");
            return ClientProtocol::not_configured(NOT_CONFIGURED_RETRY_MS);
        }
        match answered.await {
            Ok(answer) => {
                guard.answered = true;
                ClientProtocol::outcome_response(answer)
            }
            Err(_) => ClientProtocol::outcome_response(JobOutcome::GivenUp(GiveUpReason::Isolated)),
        }
    }

    /// Counts and writes down that a call gets no further.
    fn turn_away(&self, call: &HttpRequest, reason: &'static str) {
        self.metrics.count(Counter::Refusals, reason);
        let refused = ProcessLogEvent::CallRefused {
            call: format!("{} {}{}", call.method, call.host, call.path),
            reason,
            config_version: self.state.config().map_or(0, |config| config.version),
        };
        log_decision(&*self.decisions, LogPriority::Routine, &refused);
    }

    async fn pending(&self, route: &Route) -> HttpResponse {
        let (count, counted) = oneshot::channel();
        let route = route.name.clone();
        let sent = self.inputs.send(LoopInput::CountPending { route, count });
        match (sent, counted.await) {
            (Ok(()), Ok(jobs)) => ClientProtocol::pending(jobs),
            _ => ClientProtocol::not_configured(NOT_CONFIGURED_RETRY_MS),
        }
    }

    async fn answer_call(&self, call: &HttpRequest) -> HttpResponse {
        let Some(config) = self.state.config() else {
            self.turn_away(call, "no_configuration");
            return ClientProtocol::not_configured(NOT_CONFIGURED_RETRY_MS);
        };
        let Some(route) = config.routes.find(&call.host, &call.path) else {
            self.turn_away(call, "no_route");
            return ClientProtocol::no_route();
        };
        let rest = call.path.get(route.path_prefix.len()..).unwrap_or_default();
        match ClientProtocol::parse_action(&call.method, rest) {
            ClientAction::Submit(id) => self.submit(call, id, route).await,
            ClientAction::Status(_) | ClientAction::Cancel(_) => ClientProtocol::no_job(),
            ClientAction::Pending => self.pending(route).await,
            ClientAction::Unknown => ClientProtocol::bad_request(),
        }
    }
}

#[async_trait]
impl HttpHandler for Front {
    async fn handle(&self, call: HttpRequest) -> HttpResponse {
        let answer = self.answer_call(&call).await;
        if self.state.is_leaving() {
            // The client's next call then goes to another entry, over a new connection.
            return answer.with_header(http::header::CONNECTION, "close");
        }
        answer
    }

    fn limits(&self) -> HttpLimits {
        self.state
            .config()
            .map(|config| config.limits)
            .unwrap_or_default()
    }
}
