//! Finds connections that went silent.

use {
    super::{activity::ConnectionActivity, counted_socket::ReceivedBytes},
    h2::{Ping, PingPong},
    std::{pin::pin, time::Duration},
    tokio::time::{sleep, timeout},
};

/// Pause between pings, in milliseconds.
const PING_INTERVAL_MS: u64 = 200;
/// Pause between pings of the side that waits for nothing, in milliseconds.
const IDLE_PING_INTERVAL_MS: u64 = 30_000;
/// Silence after a ping that ends the connection, in milliseconds.
const PONG_TIMEOUT_MS: u64 = 500;

/// Pings until the other side stays silent or the connection breaks.
///
/// Guards against connections that something between the two ends has lost track of: bytes are
/// swallowed, nothing is closed, and a caller would wait until its deadline. A missed pong ends
/// the connection, so every call and session on it fails at once and goes to a new one. A pong may
/// wait behind a large message on a narrow link: whatever else comes meanwhile counts as well.
///
/// Only what is awaited is watched closely: at the planned size a process has thousands of
/// connections, and pings on idle ones alone would be many times the budget of control.
pub(crate) async fn until_unresponsive(
    mut pings: PingPong,
    activity: &ConnectionActivity,
    received: &ReceivedBytes,
) -> &'static str {
    loop {
        activity.until_reply_awaited().await;
        sleep(Duration::from_millis(PING_INTERVAL_MS)).await;
        if !activity.is_reply_awaited() {
            continue;
        }
        if let Some(cause) = ping(&mut pings, received).await {
            return cause;
        }
    }
}

/// Pings now and then until the other side stays silent or the connection breaks.
///
/// Guards against callers that vanish without closing: their connections would be kept for good.
pub(crate) async fn until_caller_unresponsive(
    mut pings: PingPong,
    received: &ReceivedBytes,
) -> &'static str {
    loop {
        sleep(Duration::from_millis(IDLE_PING_INTERVAL_MS)).await;
        if let Some(cause) = ping(&mut pings, received).await {
            return cause;
        }
    }
}

/// Why the connection is lost, if nothing comes in time.
async fn ping(pings: &mut PingPong, received: &ReceivedBytes) -> Option<&'static str> {
    let mut pong = pin!(pings.ping(Ping::opaque()));
    loop {
        let before = received.count();
        match timeout(Duration::from_millis(PONG_TIMEOUT_MS), &mut pong).await {
            Ok(Ok(_)) => return None,
            Ok(Err(_)) => return Some("broken"),
            Err(_) if received.count() > before => {}
            Err(_) => return Some("silent"),
        }
    }
}
