//! Timer service on the paused clock of a test.

use {
    super::HostModel,
    crate::{core::time, ports::TimerService},
    std::{sync::Arc, time::Duration},
    tokio::{sync::mpsc, time::Instant},
};

/// A host's clock, without ticks while the host is frozen.
#[derive(Debug, Clone)]
pub(super) struct PausedTimer {
    pub(super) host: Arc<HostModel>,
    pub(super) origin: Instant,
}

impl TimerService for PausedTimer {
    fn now(&self) -> time::Instant {
        let micros = self.origin.elapsed().as_micros();
        time::Instant::from_micros(1_000_000 + u64::try_from(micros).expect("a short test"))
    }

    fn subscribe(&self, period_ms: u64) -> mpsc::Receiver<time::Instant> {
        let (sender, receiver) = mpsc::channel(1);
        let timer = self.clone();
        tokio::spawn(async move {
            while !sender.is_closed() {
                tokio::time::sleep(Duration::from_millis(period_ms)).await;
                timer.host.wait_while_frozen().await;
                let _ = sender.try_send(timer.now());
            }
        });
        receiver
    }
}
