//! What an agent does with its peers' calls and sessions.

use {
    super::{
        AgentHandle,
        home_loop::{EventFor, HomeInput},
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

/// Hands calls to the home and sessions to the runner.
#[derive(Debug)]
pub(crate) struct AgentPeerHandler {
    pub(crate) agent: Arc<AgentHandle>,
}

#[async_trait]
impl PeerHandler for AgentPeerHandler {
    async fn handle_call(&self, request: PeerRequest) -> PeerReply {
        if let PeerRequest::Gate(notice) = request {
            self.agent.gate_changed(notice);
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
    /// Asks the ticket's home, here or at its successor.
    async fn call_home(&self, ticket: Ticket, request: PeerRequest) -> PeerReply {
        loop {
            match self.agent.homes.route(ticket.id.home) {
                Some(HomeRoute::Moving(successor)) => {
                    return self.forward(successor, request).await;
                }
                Some(HomeRoute::Here(home)) => match ask(&home, request.clone()).await {
                    Some(status) => return PeerReply::Job(status),
                    // The home began to move in this moment: its route says where.
                    None if self.has_moved(&ticket) => {}
                    None => return PeerReply::Unsupported,
                },
                // The own home knows how to answer for tickets of others.
                None => {
                    let status = ask(&self.agent.home, request).await;
                    return status.map_or(PeerReply::Unsupported, PeerReply::Job);
                }
            }
        }
    }

    fn has_moved(&self, ticket: &Ticket) -> bool {
        let route = self.agent.homes.route(ticket.id.home);
        matches!(route, Some(HomeRoute::Moving(_)))
    }

    /// Holds a request until the successor has taken over, and passes it on.
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
        // An entry that gets no reply asks again, and learns of the successor meanwhile.
        let reply = self.agent.starter.network.call(addr, request).await;
        reply.unwrap_or(PeerReply::Unsupported)
    }
}

async fn ask(home: &mpsc::UnboundedSender<HomeInput>, request: PeerRequest) -> Option<JobStatus> {
    let event_for = event_for(request)?;
    let (reply, status) = oneshot::channel();
    home.send(HomeInput::Request(event_for, reply)).ok()?;
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

fn event_for(request: PeerRequest) -> Option<EventFor> {
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
