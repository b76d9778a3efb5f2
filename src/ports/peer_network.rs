//! Calls and sessions between the system's own processes.

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
    /// Why a peer gave no reply.
    #[derive(Debug, PartialEq, Eq)]
    pub enum PeerError {
        /// No connection: the request was not sent.
        Unreachable(detail: String) {
            display("peer unreachable, nothing was sent: {}", detail)
        }
        /// The connection broke or went silent after the request was sent.
        OutcomeUnknown(detail: String) {
            display("peer lost, the request may have arrived: {}", detail)
        }
    }
}

/// The two directions of an open session, seen from the home.
#[derive(Debug)]
pub(crate) struct SessionIo {
    /// Frames to the runner; dropped to close the session.
    pub(crate) outgoing: mpsc::UnboundedSender<HomeFrame>,
    /// Frames from the runner; ends when the session is lost.
    pub(crate) incoming: mpsc::Receiver<RunnerFrame>,
}

/// Reaches peers by address.
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
