//! What an agent does with its peers' calls and sessions.

use {
    super::{
        AgentHandle,
        home_loop::{EventFor, HomeInput},
        runner_loop::RunnerInput,
    },
    crate::{
        adapters::peer::{PeerHandler, RunnerSession},
        core::{
            home::HomeEvent,
            message::{PeerReply, PeerRequest},
        },
    },
    async_trait::async_trait,
    std::sync::Arc,
    tokio::sync::oneshot,
};

/// Hands calls to the home and sessions to the runner.
#[derive(Debug)]
pub(crate) struct AgentPeerHandler {
    pub(crate) agent: Arc<AgentHandle>,
}

#[async_trait]
impl PeerHandler for AgentPeerHandler {
    async fn call(&self, request: PeerRequest) -> PeerReply {
        if let PeerRequest::Gate(notice) = request {
            self.agent.gate_changed(notice);
            return PeerReply::Noted;
        }
        let Some(event_for) = event_for(request) else {
            return PeerReply::Unsupported;
        };
        let (reply, status) = oneshot::channel();
        let input = HomeInput::Request(event_for, reply);
        if self.agent.home.send(input).is_err() {
            return PeerReply::Unsupported;
        }
        match status.await {
            Ok(status) => PeerReply::Job(status),
            Err(_) => PeerReply::Unsupported,
        }
    }

    fn session(&self, session: RunnerSession) -> bool {
        self.agent
            .runner
            .send(RunnerInput::Session(session))
            .is_ok()
    }
}

fn event_for(request: PeerRequest) -> Option<EventFor> {
    match request {
        PeerRequest::Announce(_)
        | PeerRequest::Digest(_)
        | PeerRequest::Configuration
        | PeerRequest::Gate(_) => None,
        PeerRequest::Submit(submission) => Some(Box::new(move |waiter| HomeEvent::Submit {
            waiter,
            ticket: submission.ticket,
            spec: submission.spec,
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
