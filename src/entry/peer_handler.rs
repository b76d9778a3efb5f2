//! What an entry does with its peers' calls.

use {
    super::EntryState,
    crate::{
        adapters::peer::{PeerHandler, RunnerSession},
        core::message::{PeerReply, PeerRequest},
    },
    async_trait::async_trait,
    std::sync::Arc,
};

/// Takes announcements and digests.
#[derive(Debug)]
pub(crate) struct EntryPeerHandler {
    pub(crate) state: Arc<EntryState>,
}

#[async_trait]
impl PeerHandler for EntryPeerHandler {
    async fn handle_call(&self, request: PeerRequest) -> PeerReply {
        match request {
            PeerRequest::Announce(announcement) => {
                PeerReply::Announced(self.state.announce(announcement))
            }
            PeerRequest::Digest(digest) => PeerReply::Digest(self.state.digest(digest)),
            PeerRequest::Configuration => {
                let held = self.state.in_force();
                PeerReply::Configuration(held.map(|held| (held.head, held.text.to_string())))
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
