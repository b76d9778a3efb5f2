//! TCP listeners of the programs.

use {super::RunError, std::net::SocketAddr, tokio::net::TcpListener};

/// Listens on the address; the error names it.
pub(crate) async fn listen(addr: SocketAddr) -> Result<TcpListener, RunError> {
    TcpListener::bind(addr)
        .await
        .map_err(|error| RunError::Listen(addr, error))
}
