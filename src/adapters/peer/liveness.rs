//! Detection of unresponsive connections with pings.

use {
    super::{activity::ConnectionActivity, counted_socket::ReceivedBytes},
    h2::{Ping, PingPong},
    std::{pin::pin, time::Duration},
    tokio::time::{sleep, timeout},
};

/// Ping interval while a reply is awaited.
const PING_INTERVAL_MS: u64 = 200;
/// Ping interval of the server, which awaits no replies.
const SERVER_PING_INTERVAL_MS: u64 = 30_000;
/// Time without received bytes after a ping until the connection counts as unresponsive.
const PONG_TIMEOUT_MS: u64 = 500;

/// Pings while a reply is awaited; returns the cause when the peer is unresponsive or the connection fails.
///
/// Detects connections that drop packets without being closed, for example after a firewall lost their
/// state, so that calls and sessions fail before their deadline. Since a pong may be queued behind a
/// large message on a slow link, any received byte counts as a sign of life.
///
/// No pings are sent while no reply is awaited: a process may have thousands of idle connections, whose
/// pings alone would exceed the budget for control traffic many times over.
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

/// Pings at long intervals; returns the cause when the caller is unresponsive or the connection fails.
///
/// Closes the connections of callers that disappeared without closing them.
pub(crate) async fn until_caller_unresponsive(
    mut pings: PingPong,
    received: &ReceivedBytes,
) -> &'static str {
    loop {
        sleep(Duration::from_millis(SERVER_PING_INTERVAL_MS)).await;
        if let Some(cause) = ping(&mut pings, received).await {
            return cause;
        }
    }
}

/// Pings once; returns the cause if the connection failed or nothing was received in time.
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
