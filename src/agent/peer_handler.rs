//! Handles calls and sessions from peers.

use {
    super::{
        AgentHandle,
        home_loop::{EventBuilder, HomeInput},
        home_routes::HomeRoute,
        runner_loop::RunnerInput,
    },
    crate::{
        adapters::peer::{PeerHandler, RunnerSession},
        core::{
            home::HomeEvent,
            job::JobStatus,
            message::{PeerReply, PeerRequest},
            ticket::Ticket,
        },
    },
    async_trait::async_trait,
    std::{net::SocketAddr, sync::Arc},
    tokio::sync::{mpsc, oneshot, watch},
};

/// Passes calls to homes and sessions to the runner.
#[derive(Debug)]
pub(crate) struct AgentPeerHandler {
    pub(crate) agent: Arc<AgentHandle>,
}

#[async_trait]
impl PeerHandler for AgentPeerHandler {
    async fn handle_call(&self, request: PeerRequest) -> PeerReply {
        if let PeerRequest::Gate(notice) = request {
            self.agent.apply_gate_notice(notice);
            return PeerReply::Noted;
        }
        if let PeerRequest::Adopt(records) = request {
            return match self.agent.adopt(*records) {
                true => PeerReply::Adopted,
                false => PeerReply::Unsupported,
            };
        }
        let Some(ticket) = ticket_of(&request) else {
            return PeerReply::Unsupported;
        };
        self.call_home(ticket, request).await
    }

    fn accept_session(&self, session: RunnerSession) -> bool {
        self.agent
            .runner
            .send(RunnerInput::Session(session))
            .is_ok()
    }
}

impl AgentPeerHandler {
    /// Sends a request to the ticket's home, in this process or at its successor.
    async fn call_home(&self, ticket: Ticket, request: PeerRequest) -> PeerReply {
        loop {
            match self.agent.homes.route(ticket.id.home) {
                Some(HomeRoute::Moving(successor)) => {
                    return self.forward(successor, request).await;
                }
                Some(HomeRoute::Local(home)) => match send_request(&home, request.clone()).await {
                    Some(status) => return PeerReply::Job(status),
                    // The move began after the lookup; the next iteration follows the new route.
                    None if self.has_moved(&ticket) => {}
                    None => return PeerReply::Unsupported,
                },
                // The agent's own home also replies for tickets of unknown homes.
                None => {
                    let status = send_request(&self.agent.home, request).await;
                    return status.map_or(PeerReply::Unsupported, PeerReply::Job);
                }
            }
        }
    }

    fn has_moved(&self, ticket: &Ticket) -> bool {
        let route = self.agent.homes.route(ticket.id.home);
        matches!(route, Some(HomeRoute::Moving(_)))
    }

    /// Forwards a request once the successor has adopted the home.
    async fn forward(
        &self,
        mut successor: watch::Receiver<Option<SocketAddr>>,
        request: PeerRequest,
    ) -> PeerReply {
        let Ok(addr) = successor.wait_for(Option::is_some).await.map(|addr| *addr) else {
            return PeerReply::Unsupported;
        };
        let Some(addr) = addr else {
            return PeerReply::Unsupported;
        };
        // After `Unsupported` the entry retries; by then it may know the successor.
        let reply = self.agent.starter.network.call(addr, request).await;
        reply.unwrap_or(PeerReply::Unsupported)
    }
}

async fn send_request(
    home: &mpsc::UnboundedSender<HomeInput>,
    request: PeerRequest,
) -> Option<JobStatus> {
    let build_event = event_builder(request)?;
    let (reply, status) = oneshot::channel();
    home.send(HomeInput::Request(build_event, reply)).ok()?;
    status.await.ok()
}

const fn ticket_of(request: &PeerRequest) -> Option<Ticket> {
    match request {
        PeerRequest::Announce(_)
        | PeerRequest::Adopt(_)
        | PeerRequest::Digest(_)
        | PeerRequest::Configuration
        | PeerRequest::Gate(_) => None,
        PeerRequest::Submit(submission) => Some(submission.ticket),
        PeerRequest::Poll { ticket, .. } | PeerRequest::Cancel { ticket } => Some(*ticket),
    }
}

fn event_builder(request: PeerRequest) -> Option<EventBuilder> {
    match request {
        PeerRequest::Announce(_)
        | PeerRequest::Digest(_)
        | PeerRequest::Configuration
        | PeerRequest::Adopt(_)
        | PeerRequest::Gate(_) => None,
        PeerRequest::Submit(submission) => Some(Box::new(move |waiter| HomeEvent::Submit {
            waiter,
            ticket: submission.ticket,
            by_key: submission.by_key,
            spec: submission.spec,
            impossible: submission.impossible,
            candidates: submission.candidates,
            wait_ms: submission.wait_ms,
        })),
        PeerRequest::Poll {
            ticket,
            candidates,
            wait_ms,
        } => Some(Box::new(move |waiter| HomeEvent::Poll {
            waiter,
            ticket,
            candidates,
            wait_ms,
        })),
        PeerRequest::Cancel { ticket } => {
            Some(Box::new(move |waiter| HomeEvent::Cancel { waiter, ticket }))
        }
    }
}
