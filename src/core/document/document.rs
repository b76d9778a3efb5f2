//! The document.

use std::sync::Arc;

/// The operators' document as it lies in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Document {
    /// Version of its row; rises with each change, and is never zero.
    pub(crate) revision: u64,
    /// Its text.
    pub(crate) text: Arc<[u8]>,
}
