//! Tests that start real processes on loopback, linked as one program to save build time.

#![allow(
    clippy::expect_used,
    reason = "a test that can't be set up must fail loudly"
)]

mod client_requests;
mod config;
mod crowds;
mod evacuation;
mod exactly_once;
mod gate;
mod membership;
mod operators;
mod planned_stop;
mod policy;
mod programs;
mod silent_connections;
mod site;
mod support;
mod unread_config;
mod unread_logs;
mod worker_reports;
