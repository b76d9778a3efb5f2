//! Channels of a session.

use tokio::sync::mpsc;

/// Both directions of a session.
#[derive(Debug)]
pub(crate) struct FrameDuplex<In, Out> {
    /// Frames from the other side. Ends when the session disconnects.
    pub(crate) incoming: mpsc::Receiver<In>,
    /// Frames to the other side. Dropping the sender closes the session and its connection.
    pub(crate) outgoing: mpsc::UnboundedSender<Out>,
}
