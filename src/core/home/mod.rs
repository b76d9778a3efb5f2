//! The home of jobs: deduplicates, fans out, gathers and answers.

mod answer_store;
mod demand;
mod dispatch;
mod hand_over;
mod home;
mod home_event;
mod intake;
mod job_record;
mod records;
mod runner_link;
mod sessions;
mod settle;
mod ticket_ring;
mod ticks;

#[cfg(test)]
mod tests;

pub(crate) use {
    home::{Home, HomeSettings},
    home_event::{HomeAction, HomeEvent, WaiterId},
    records::HomeRecords,
};
