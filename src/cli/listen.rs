//! Listens on the addresses of the settings.

use {super::RunError, std::net::SocketAddr, tokio::net::TcpListener};

/// Listens there; an address that can't be had ends the program with it in the message.
pub(crate) async fn listen(addr: SocketAddr) -> Result<TcpListener, RunError> {
    TcpListener::bind(addr)
        .await
        .map_err(|error| RunError::Listen(addr, error))
}
