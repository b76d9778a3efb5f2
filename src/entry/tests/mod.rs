//! Tests of the entry's parts with fake dependencies.

mod config;
mod fakes;
mod jobs;
mod moved_jobs;
