//! Simulated floods of competing queues, with several entries and agents.

mod all_queues;
mod flood_load;
mod flood_site;
mod one_queue;
mod wrong_figures;
