//! A seeded harness: several entries, agents and workers as machines in simulated time, with faults.
//!
//! What a run checks while it goes on: no task ever runs twice at once, an answer "completed" is whole, a
//! job that was only ever refused has not run, every client hears in time, and nothing stays behind.

mod client_model;
mod faults;
mod link_model;
mod seeded_rng;
mod seeds;
mod simulation;
mod simulation_report;
