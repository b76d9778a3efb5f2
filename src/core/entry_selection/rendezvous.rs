//! Weights for rendezvous hashing.

use std::net::SocketAddr;

/// Weight of an entry for a process with this identity; independent between identities.
pub(crate) fn rendezvous_weight(identity: &[u8], entry: SocketAddr) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(identity);
    hasher.update(entry.to_string().as_bytes());
    let mut bytes = [0; size_of::<u64>()];
    hasher.finalize_xof().fill(&mut bytes);
    u64::from_le_bytes(bytes)
}
