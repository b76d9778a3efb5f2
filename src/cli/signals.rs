//! Signals that ask for a planned stop.

use tokio::signal::unix::{SignalKind, signal};

/// Resolves at SIGTERM or SIGINT.
pub(crate) async fn stop_signal() {
    let (terminate, interrupt) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    );
    let (Ok(mut terminate), Ok(mut interrupt)) = (terminate, interrupt) else {
        log::error!("signals can't be received; the process stops only when killed");
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
