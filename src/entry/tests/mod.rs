//! Tests of the entry's parts against fakes of what they call.

mod config;
mod fakes;
mod jobs;
