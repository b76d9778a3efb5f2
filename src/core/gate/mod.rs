//! The zone gate: permits under which a runner may start tasks.

mod permit;

pub(crate) use permit::Permit;
