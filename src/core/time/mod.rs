//! Monotonic time.

mod instant;

pub(crate) use instant::Instant;
