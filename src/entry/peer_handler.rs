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

/// Takes announcements.
#[derive(Debug)]
pub(crate) struct EntryPeerHandler {
    pub(crate) state: Arc<EntryState>,
}

#[async_trait]
impl PeerHandler for EntryPeerHandler {
    async fn call(&self, request: PeerRequest) -> PeerReply {
        match request {
            PeerRequest::Announce(announcement) => {
                PeerReply::Announced(self.state.announce(announcement))
            }
            PeerRequest::Submit(_)
            | PeerRequest::Poll { .. }
            | PeerRequest::Adopt(_)
            | PeerRequest::Cancel { .. } => PeerReply::Unsupported,
        }
    }

    fn session(&self, _session: RunnerSession) -> bool {
        false
    }
}
