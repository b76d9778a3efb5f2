//! Points in time on a process's own monotonic clock.

mod instant;

pub(crate) use instant::Instant;
