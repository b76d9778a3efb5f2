//! Clocks, ticks and backoff on tokio.

mod backoff;
mod boot_timer;
mod jitter;
mod tokio_timer;

pub(crate) use {
    backoff::Backoff, boot_timer::BootTimer, jitter::sleep_with_jitter, tokio_timer::TokioTimer,
};
