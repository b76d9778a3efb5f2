//! Takes what the worker says of itself.

use {
    super::execution_loop::LoopInput,
    crate::{
        adapters::http::{HttpHandler, HttpRequest, HttpResponse},
        core::execution::ExecutionEvent,
        platform::{WorkerReport, parse_worker_report},
        ports::{Counter, Metrics},
    },
    async_trait::async_trait,
    http::StatusCode,
    std::sync::Arc,
    tokio::sync::mpsc,
};

/// Passes the worker's reports to the executor; what can't be read is counted and left aside.
#[derive(Debug)]
pub(super) struct WorkerEar {
    pub(super) inputs: mpsc::UnboundedSender<LoopInput>,
    pub(super) metrics: Arc<dyn Metrics>,
}

#[async_trait]
impl HttpHandler for WorkerEar {
    async fn handle(&self, call: HttpRequest) -> HttpResponse {
        let word = match parse_worker_report(&call.path, &call.body) {
            None => return HttpResponse::empty(StatusCode::NOT_FOUND),
            Some(Err(error)) => {
                self.metrics.count(Counter::Announcements, "unreadable");
                log::info!(error:% = error; "a worker's report can't be read");
                return HttpResponse::empty(StatusCode::BAD_REQUEST);
            }
            Some(Ok(word)) => word,
        };
        self.metrics.count(Counter::Announcements, "taken");
        let event = match word {
            WorkerReport::Heartbeat { view, sequence } => {
                ExecutionEvent::Heartbeat { view, sequence }
            }
            WorkerReport::Leave { worker } => ExecutionEvent::WorkerLeft { worker },
        };
        // The report is acknowledged once the executor has acted on it: a worker that is about to
        // end counts on being given nothing more.
        let (taken, acted) = tokio::sync::oneshot::channel();
        let sent = self.inputs.send(LoopInput::Report { event, taken });
        match (sent, acted.await) {
            (Ok(()), Ok(())) => HttpResponse::json(StatusCode::OK, "{}"),
            _ => HttpResponse::empty(StatusCode::SERVICE_UNAVAILABLE),
        }
    }
}
