//! Both directions of a session.

use tokio::sync::mpsc;

/// A session as its owner sees it.
#[derive(Debug)]
pub(crate) struct FrameDuplex<In, Out> {
    /// Frames of the other side; ends when the session is lost.
    pub(crate) incoming: mpsc::Receiver<In>,
    /// Frames to the other side; dropped to close the session and its connection.
    pub(crate) outgoing: mpsc::UnboundedSender<Out>,
}
