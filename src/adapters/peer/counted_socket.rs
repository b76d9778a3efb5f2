//! Counts the bytes of control and work that pass a peer connection.

use {
    crate::{
        adapters::socket::{ObservedSocket, SocketObserver},
        ports::{Counter, Metrics},
    },
    std::sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    tokio::net::TcpStream,
};

/// A socket that counts its payload bytes and its writes; the headers of TCP and IP are not seen here.
pub(crate) type CountedSocket = ObservedSocket<ByteCounter>;

/// Bytes that have come in on a connection.
#[derive(Debug, Clone, Default)]
pub(crate) struct ReceivedBytes(Arc<AtomicU64>);

impl ReceivedBytes {
    /// How many so far.
    pub(crate) fn count(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Counts for this process's metrics and for the watch over the connection.
#[derive(Debug)]
pub(crate) struct ByteCounter {
    metrics: Arc<dyn Metrics>,
    received: ReceivedBytes,
}

impl ByteCounter {
    /// The bytes that have come in.
    pub(crate) fn received(&self) -> ReceivedBytes {
        self.received.clone()
    }
}

impl SocketObserver for ByteCounter {
    fn on_read(&self, bytes: usize) {
        self.received.0.fetch_add(bytes as u64, Ordering::Relaxed);
        self.metrics
            .add(Counter::PeerBytes, "received", bytes as u64);
    }

    fn on_written(&self, bytes: usize) {
        self.metrics.add(Counter::PeerBytes, "sent", bytes as u64);
        self.metrics.count(Counter::PeerWrites, "sent");
    }
}

/// Counts what passes a connection between two of the system's processes.
pub(crate) fn with_byte_counter(socket: TcpStream, metrics: Arc<dyn Metrics>) -> CountedSocket {
    let received = ReceivedBytes::default();
    ObservedSocket::new(socket, ByteCounter { metrics, received })
}
