//! Tests of the home machine, together with the runner machine that it talks to.

#![allow(
    clippy::expect_used,
    clippy::panic,
    reason = "a test that can't go on must fail loudly"
)]

mod faults;
mod interleavings;
mod memory;
mod world;

/// Held by tests that use or measure much memory, so that none is measured together with another.
static MEMORY_IN_USE: std::sync::Mutex<()> = std::sync::Mutex::new(());
