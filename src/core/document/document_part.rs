//! Messages that request and carry parts of the document.

use {
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Requests a part of the document.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PartRequest {
    pub(crate) revision: u64,
    /// Start of the part, in bytes.
    pub(crate) offset: u64,
}

/// A part of the document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct DocumentPart {
    /// The request that this part answers.
    pub(crate) request: PartRequest,
    /// Length of the complete document; zero if the revision is no longer available.
    pub(crate) document_bytes: u64,
    /// The bytes that start at the offset.
    pub(crate) bytes: Arc<[u8]>,
}
