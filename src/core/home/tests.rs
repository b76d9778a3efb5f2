//! Tests of the home state machine together with the runner state machine.

#![allow(
    clippy::expect_used,
    clippy::panic,
    reason = "a test that can't go on must fail loudly"
)]

mod faults;
mod interleavings;
mod memory;
mod sessions;
mod simulation;
