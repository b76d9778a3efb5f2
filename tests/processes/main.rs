//! Tests with real processes on loopback: one program for all, so that it is linked once.

#![allow(
    clippy::expect_used,
    reason = "a test that can't be set up must fail loudly"
)]

mod config;
mod gate;
mod membership;
mod once;
mod operators;
mod path;
mod planned_stop;
mod policy;
mod programs;
mod site;
mod support;
