//! The operators' document, and how a process gets a copy of it from another.
//!
//! A process that is behind asks for the document in small parts, one at a time. Guards against a document
//! that fills a link: pushed as a whole, it holds up the beats of all sessions on that link, and a session
//! that is lost for it would begin with the whole document again.

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
