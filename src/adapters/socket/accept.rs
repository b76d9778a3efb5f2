//! Accepts connections.

use {
    std::time::Duration,
    tokio::{
        net::{TcpListener, TcpStream},
        time::sleep,
    },
};

/// Delay after a failed accept, in milliseconds; the process may be out of file descriptors for a
/// moment.
const ACCEPT_RETRY_INTERVAL_MS: u64 = 20;

/// Waits for the next connection; logs failures with `message` and tries again.
pub(crate) async fn accept(listener: &TcpListener, message: &'static str) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((socket, _)) => return socket,
            Err(error) => {
                log::warn!(error:% = error; "{message}");
                sleep(Duration::from_millis(ACCEPT_RETRY_INTERVAL_MS)).await;
            }
        }
    }
}
