//! Accepted connections, and sockets with an observer of their reads and writes.

mod accept;
mod observed_socket;

pub(crate) use {
    accept::accept,
    observed_socket::{ObservedSocket, SocketObserver},
};
