//! The zone gate: time-limited permits under which runners start tasks.

mod pending_change;
mod permit;
mod shared_permit;
mod zone_gate;

#[cfg(test)]
mod tests;

pub(crate) use {
    pending_change::ChangeId,
    permit::Permit,
    shared_permit::SharedPermit,
    zone_gate::{ChangeOutcome, PERMIT_DURATION_MS, ZoneGate},
};
