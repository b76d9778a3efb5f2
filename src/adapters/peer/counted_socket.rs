//! Counts the bytes and writes of a peer connection.

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

/// A socket that counts payload bytes and writes, without TCP and IP headers.
pub(crate) type CountedSocket = ObservedSocket<ByteCounter>;

/// Number of bytes received on a connection.
#[derive(Debug, Clone, Default)]
pub(crate) struct ReceivedBytes(Arc<AtomicU64>);

impl ReceivedBytes {
    pub(crate) fn count(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Counts for the metrics and for the connection's liveness check.
#[derive(Debug)]
pub(crate) struct ByteCounter {
    metrics: Arc<dyn Metrics>,
    received: ReceivedBytes,
}

impl ByteCounter {
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

/// Wraps a connection between entries and agents to count its bytes.
pub(crate) fn with_byte_counter(socket: TcpStream, metrics: Arc<dyn Metrics>) -> CountedSocket {
    let received = ReceivedBytes::default();
    ObservedSocket::new(socket, ByteCounter { metrics, received })
}
