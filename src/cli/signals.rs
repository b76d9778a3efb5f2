//! Handling of the stop signals and of SIGHUP.

use {
    crate::{
        ports::{DecisionLog, LogPriority, log_decision},
        site_entry::ProcessLogEvent,
    },
    std::sync::Arc,
    tokio::signal::unix::{SignalKind, signal},
};

/// Resolves at SIGTERM or SIGINT.
pub(crate) async fn stop_signal() {
    let (terminate, interrupt) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    );
    let (Ok(mut terminate), Ok(mut interrupt)) = (terminate, interrupt) else {
        log::error!("failed to install signal handlers; the process stops only when killed");
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

/// Logs each SIGHUP; nothing is reloaded, because the configuration is read from the store.
pub(crate) async fn log_reload_signals(decisions: Arc<dyn DecisionLog>) {
    let Ok(mut reloads) = signal(SignalKind::hangup()) else {
        log::error!("failed to install the SIGHUP handler; SIGHUP terminates the process");
        return;
    };
    while reloads.recv().await.is_some() {
        let outcome = "addresses_kept";
        log_decision(
            &*decisions,
            LogPriority::Notable,
            &ProcessLogEvent::Reloaded { outcome },
        );
    }
}
