//! Clocks, ticks and backoff on tokio.

mod backoff;
mod boot_timer;
mod tokio_timer;

pub(crate) use {backoff::Backoff, boot_timer::BootTimer, tokio_timer::TokioTimer};
