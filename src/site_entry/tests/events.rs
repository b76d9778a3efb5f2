//! Checks that the operations page documents every log event.

/// Every log event of an entry, an agent, and a process as a whole.
const EVENTS: [&str; 50] = [
    "job_taken",
    "job_refused",
    "job_joined",
    "job_held",
    "cancellation_answered",
    "job_answered",
    "job_isolated",
    "run_lost",
    "run_overdue",
    "run_not_started",
    "run_ended",
    "order_unanswered",
    "stray_run",
    "agent_connected",
    "agent_lost",
    "entry_connected",
    "entry_lost",
    "session_retired",
    "worker_seen",
    "report_ignored",
    "worker_ready",
    "worker_changed",
    "worker_draining",
    "worker_leaving",
    "worker_stays",
    "worker_lost",
    "worker_unresponsive",
    "worker_crashed",
    "worker_ejected",
    "fenced",
    "news_in_force",
    "config_in_force",
    "config_unreadable",
    "news_taken",
    "zones_outdated",
    "zones_confirmed",
    "news_read",
    "news_left_aside",
    "document_fetched",
    "document_read",
    "store_lost",
    "store_regained",
    "woke",
    "hello_outdated",
    "started",
    "stopping",
    "stopped",
    "reloaded",
    "call_refused",
    "lines_dropped",
];

#[test]
fn the_operations_page_names_every_event() {
    let page = include_str!("../../../docs/OPERATIONS.md");
    let missing: Vec<&str> = EVENTS
        .into_iter()
        .filter(|event| !page.contains(&format!("`{event}`")))
        .collect();
    assert!(missing.is_empty(), "{missing:?}");
}
