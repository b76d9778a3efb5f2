//! The timer service on tokio.

mod boot_timer;
mod tokio_timer;

pub(crate) use {boot_timer::BootTimer, tokio_timer::TokioTimer};
