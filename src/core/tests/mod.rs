//! Deterministic simulation of entries, agents and workers with injected faults.
//!
//! Invariants: no task has two concurrent runs, a job reported as completed has all its tasks done, a
//! job reported only as not run has never started, no task starts long after its job was cancelled, every
//! client finishes in time, and no run remains.

mod cancellations;
mod client_model;
mod faults;
mod floods;
mod incarnations;
mod link_model;
mod seeded_rng;
mod seeds;
mod simulation;
mod simulation_report;
