//! Signals that ask for a planned stop.

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
        log::error!("signals can't be received; the process stops only when killed");
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

/// Notes each SIGHUP: all that such a process goes by lies in the store, so there is nothing to read anew.
pub(crate) async fn log_reload_signals(decisions: Arc<dyn DecisionLog>) {
    let Ok(mut reloads) = signal(SignalKind::hangup()) else {
        log::error!("SIGHUP can't be received; it would end the process");
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
