//! Counts the bytes of control and work that pass a peer connection.

use {
    crate::{
        adapters::socket::{ObservedSocket, SocketObserver},
        ports::{Counter, Metrics},
    },
    std::sync::Arc,
    tokio::net::TcpStream,
};

/// A socket that counts its payload bytes and its writes; the headers of TCP and IP are not seen here.
pub(crate) type CountedSocket = ObservedSocket<ByteCounter>;

/// Counts for this process's metrics.
#[derive(Debug)]
pub(crate) struct ByteCounter {
    metrics: Arc<dyn Metrics>,
}

impl SocketObserver for ByteCounter {
    fn on_read(&self, bytes: usize) {
        self.metrics
            .add(Counter::PeerBytes, "received", bytes as u64);
    }

    fn on_written(&self, bytes: usize) {
        self.metrics.add(Counter::PeerBytes, "sent", bytes as u64);
        self.metrics.count(Counter::PeerWrites, "sent");
    }
}

/// Counts what passes a connection between two of the system's processes.
pub(crate) const fn counted(socket: TcpStream, metrics: Arc<dyn Metrics>) -> CountedSocket {
    ObservedSocket::new(socket, ByteCounter { metrics })
}
