//! Calls and sessions between entries and agents.

use {
    crate::core::{
        message::{HomeFrame, PeerReply, PeerRequest, RunnerFrame},
        ticket::AgentId,
    },
    async_trait::async_trait,
    quick_error::quick_error,
    std::{fmt::Debug, net::SocketAddr},
    tokio::sync::mpsc,
};

quick_error! {
    /// Why a call to a peer failed.
    #[derive(Debug, PartialEq, Eq)]
    pub enum PeerError {
        /// There is no connection; the request was not sent.
        Unreachable(detail: String) {
            display("peer unreachable, request not sent: {}", detail)
        }
        /// The connection failed or timed out after the request was sent.
        OutcomeUnknown(detail: String) {
            display("connection to the peer lost, it may have received the request: {}", detail)
        }
    }
}

/// Both directions of an open session, on the home's side.
#[derive(Debug)]
pub(crate) struct SessionIo {
    /// Frames to the runner. Dropping the sender closes the session.
    pub(crate) outgoing: mpsc::UnboundedSender<HomeFrame>,
    /// Frames from the runner. Ends when the session disconnects.
    pub(crate) incoming: mpsc::Receiver<RunnerFrame>,
}

/// Client of peers, by address.
#[async_trait]
pub(crate) trait PeerNetwork: Debug + Send + Sync {
    /// Sends one request and waits for its reply.
    async fn call(&self, to: SocketAddr, request: PeerRequest) -> Result<PeerReply, PeerError>;

    /// Opens a session and sends its hello.
    async fn open_session(
        &self,
        to: SocketAddr,
        home: AgentId,
        epoch: u64,
    ) -> Result<SessionIo, PeerError>;
}
