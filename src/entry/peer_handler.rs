//! Handles calls from other entries and agents.

use {
    super::EntryState,
    crate::{
        adapters::peer::{PeerHandler, RunnerSession},
        core::message::{PeerReply, PeerRequest},
    },
    async_trait::async_trait,
    std::sync::Arc,
};

/// Handles announcements, digests and requests for the configuration.
#[derive(Debug)]
pub(crate) struct EntryPeerHandler {
    pub(crate) state: Arc<EntryState>,
}

#[async_trait]
impl PeerHandler for EntryPeerHandler {
    async fn handle_call(&self, request: PeerRequest) -> PeerReply {
        match request {
            PeerRequest::Announce(announcement) => {
                PeerReply::Announced(self.state.handle_announcement(announcement))
            }
            PeerRequest::Digest(digest) => PeerReply::Digest(self.state.handle_digest(digest)),
            PeerRequest::Configuration => {
                let in_force = self.state.in_force();
                PeerReply::Configuration(
                    in_force.map(|in_force| (in_force.head, in_force.text.to_string())),
                )
            }
            PeerRequest::Gate(_)
            | PeerRequest::Submit(_)
            | PeerRequest::Poll { .. }
            | PeerRequest::Adopt(_)
            | PeerRequest::Cancel { .. } => PeerReply::Unsupported,
        }
    }

    fn accept_session(&self, _session: RunnerSession) -> bool {
        false
    }
}
