//! The timer service on tokio.

mod tokio_timer;

pub(crate) use tokio_timer::TokioTimer;
