//! Parts of the document, as they are asked for and sent.

use {
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Asks for a part of the document.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PartRequest {
    /// Which revision.
    pub(crate) revision: u64,
    /// Where the part begins, in bytes.
    pub(crate) offset: u64,
}

/// A part of the document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct DocumentPart {
    /// What was asked for.
    pub(crate) request: PartRequest,
    /// Length of the whole document; zero if the revision is not held any more.
    pub(crate) document_bytes: u64,
    /// The bytes from the offset on.
    pub(crate) bytes: Arc<[u8]>,
}
