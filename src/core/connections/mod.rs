//! Which connections a server keeps when its memory or descriptors run short.

mod closing;
mod connection_id;
mod connection_limits;
mod connection_table;

#[cfg(test)]
mod tests;

pub(crate) use {
    closing::{CloseCause, CloseMode, Closing, Stage},
    connection_id::ConnectionId,
    connection_limits::ConnectionLimits,
    connection_table::ConnectionTable,
};
