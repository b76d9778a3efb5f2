//! The home of jobs: deduplicates submissions, distributes tasks and collects their outcomes.

mod admission;
mod answer_store;
mod demand;
mod dispatch;
mod hand_over;
mod home;
mod home_event;
mod job_record;
mod outcomes;
mod records;
mod runner_link;
mod sessions;
mod ticket_registry;
mod ticks;

#[cfg(test)]
mod tests;

pub(crate) use {
    home::{Home, HomeSettings},
    home_event::{HomeAction, HomeEvent, WaiterId},
    records::HomeRecords,
};
