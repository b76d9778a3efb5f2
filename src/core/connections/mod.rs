//! Which connections a server keeps when its memory or descriptors run short.

mod connection_limits;

pub(crate) use connection_limits::ConnectionLimits;
