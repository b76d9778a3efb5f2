//! The operators' document.

use std::sync::Arc;

/// The operators' document as stored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Document {
    /// Version of the store row; increases with each change and is never zero.
    pub(crate) revision: u64,
    pub(crate) text: Arc<[u8]>,
}
