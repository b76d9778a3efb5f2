//! Sockets with an observer of their reads and writes.

mod observed_socket;

pub(crate) use observed_socket::{ObservedSocket, SocketObserver};
