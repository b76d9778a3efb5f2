//! HTTP handler for the worker's reports.

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

/// Passes the worker's reports to the executor; counts and rejects invalid ones.
#[derive(Debug)]
pub(super) struct WorkerReportHandler {
    pub(super) inputs: mpsc::UnboundedSender<LoopInput>,
    pub(super) metrics: Arc<dyn Metrics>,
}

#[async_trait]
impl HttpHandler for WorkerReportHandler {
    async fn handle(&self, request: HttpRequest) -> HttpResponse {
        let report = match parse_worker_report(&request.path, &request.body) {
            None => return HttpResponse::empty(StatusCode::NOT_FOUND),
            Some(Err(error)) => {
                self.metrics.count(Counter::Announcements, "unreadable");
                log::info!(error:% = error; "invalid worker report");
                return HttpResponse::empty(StatusCode::BAD_REQUEST);
            }
            Some(Ok(report)) => report,
        };
        self.metrics.count(Counter::Announcements, "taken");
        // The report is acknowledged after the executor has handled it: a worker that is about to
        // exit relies on getting no more tasks.
        let (handled, acknowledgement) = tokio::sync::oneshot::channel();
        let input = match report {
            WorkerReport::Heartbeat { view, sequence } => LoopInput::Report {
                event: ExecutionEvent::Heartbeat { view, sequence },
                handled,
            },
            WorkerReport::Leave(worker) => LoopInput::WorkerLeaving {
                worker,
                stopped: handled,
            },
        };
        let sent = self.inputs.send(input);
        match (sent, acknowledgement.await) {
            (Ok(()), Ok(())) => HttpResponse::json(StatusCode::OK, "{}"),
            _ => HttpResponse::empty(StatusCode::SERVICE_UNAVAILABLE),
        }
    }
}
