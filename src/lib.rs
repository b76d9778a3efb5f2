//! rattanslip: a dispatcher for sub-second tasks.
//!
//! The library contains the code of all programs; each binary calls one function.
//! `docs/ARCHITECTURE.md` describes the processes and modules.

mod adapters;
mod agent;
mod cli;
mod conf;
mod core;
mod entry;
mod load;
mod platform;
mod ports;
mod site_agent;
mod site_entry;
mod standin;

pub use cli::{agent_main, entry_main, load_main, operator_main, standin_main};
