//! The operators' document of a site, and its transfer between processes.
//!
//! A process with an older revision requests the document in small parts, one at a time, so that a large
//! document doesn't delay heartbeats on a slow link, and a transfer can resume after a disconnect.

mod document;
mod document_copy;
mod document_part;

#[cfg(test)]
mod tests;

pub(crate) use {
    document::Document,
    document_copy::{DocumentCopy, FetchStep},
    document_part::{DocumentPart, PartRequest},
};
