//! Sessions between agents and entries: one h2 stream with bincode frames each way.

mod dial_error;
mod duplex;
mod frame_link;

#[cfg(test)]
mod tests;

pub(crate) use {
    dial_error::DialError,
    duplex::FrameDuplex,
    frame_link::{dial_link, serve_links},
};
