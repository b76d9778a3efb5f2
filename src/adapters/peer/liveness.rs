//! Finds connections that went silent.

use {
    h2::{Ping, PingPong},
    std::time::Duration,
    tokio::time::{sleep, timeout},
};

/// Pause between pings, in milliseconds.
const PING_PERIOD_MS: u64 = 200;
/// Silence after a ping that ends the connection, in milliseconds.
const PONG_TIMEOUT_MS: u64 = 500;

/// Pings until the other side stays silent or the connection breaks.
///
/// Guards against connections that something between the two ends has lost track of: bytes are
/// swallowed, nothing is closed, and a caller would wait until its deadline. A missed pong ends
/// the connection, so every call and session on it fails at once and goes to a new one.
pub(crate) async fn until_silent(mut pings: PingPong) -> &'static str {
    loop {
        sleep(Duration::from_millis(PING_PERIOD_MS)).await;
        match timeout(
            Duration::from_millis(PONG_TIMEOUT_MS),
            pings.ping(Ping::opaque()),
        )
        .await
        {
            Ok(Ok(_)) => {}
            Ok(Err(_)) => return "broken",
            Err(_) => return "silent",
        }
    }
}
