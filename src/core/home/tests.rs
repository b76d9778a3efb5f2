//! Tests of the home machine, together with the runner machine that it talks to.

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
