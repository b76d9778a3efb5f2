//! Finds connections that went silent.

use {
    super::activity::Activity,
    h2::{Ping, PingPong},
    std::time::Duration,
    tokio::time::{sleep, timeout},
};

/// Pause between pings, in milliseconds.
const PING_PERIOD_MS: u64 = 200;
/// Pause between pings of the side that waits for nothing, in milliseconds.
const WATCH_PERIOD_MS: u64 = 30_000;
/// Silence after a ping that ends the connection, in milliseconds.
const PONG_TIMEOUT_MS: u64 = 500;

/// Pings until the other side stays silent or the connection breaks.
///
/// Guards against connections that something between the two ends has lost track of: bytes are
/// swallowed, nothing is closed, and a caller would wait until its deadline. A missed pong ends
/// the connection, so every call and session on it fails at once and goes to a new one.
///
/// Only what is awaited is watched closely: at the planned size a process has thousands of
/// connections, and pings on idle ones alone would be many times the budget of control.
pub(crate) async fn until_silent(mut pings: PingPong, activity: &Activity) -> &'static str {
    loop {
        activity.awaiting().await;
        sleep(Duration::from_millis(PING_PERIOD_MS)).await;
        if !activity.is_awaiting() {
            continue;
        }
        if let Some(cause) = ping(&mut pings).await {
            return cause;
        }
    }
}

/// Pings now and then until the other side stays silent or the connection breaks.
///
/// Guards against callers that vanish without closing: their connections would be kept for good.
pub(crate) async fn until_abandoned(mut pings: PingPong) -> &'static str {
    loop {
        sleep(Duration::from_millis(WATCH_PERIOD_MS)).await;
        if let Some(cause) = ping(&mut pings).await {
            return cause;
        }
    }
}

/// Why the connection is lost, if no pong comes in time.
async fn ping(pings: &mut PingPong) -> Option<&'static str> {
    let pong = pings.ping(Ping::opaque());
    match timeout(Duration::from_millis(PONG_TIMEOUT_MS), pong).await {
        Ok(Ok(_)) => None,
        Ok(Err(_)) => Some("broken"),
        Err(_) => Some("silent"),
    }
}
