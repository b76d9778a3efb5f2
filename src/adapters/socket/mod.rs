//! Sockets that let someone watch what passes.

mod observed_socket;

pub(crate) use observed_socket::{ObservedSocket, SocketObserver};
