//! Tests of sessions.

use {
    super::{DialError, FrameDuplex, dial_link},
    crate::{adapters::metrics::OtelMetrics, core::redial::DialOutcome},
    std::{net::SocketAddr, sync::Arc},
    tokio::net::{TcpSocket, TcpStream},
};

/// A lost SYN must fail the dial before the kernel's retransmission after one second. Here a full
/// accept queue drops the SYN.
#[tokio::test]
async fn a_dial_fails_fast_when_its_syn_is_lost() {
    let socket = TcpSocket::new_v4().expect("socket");
    socket
        .bind(SocketAddr::from(([127, 0, 0, 1], 0)))
        .expect("bind");
    let listener = socket.listen(1).expect("listen");
    let entry = listener.local_addr().expect("address");
    // The accept queue holds one connection more than its length; nobody accepts.
    let first = TcpStream::connect(entry).await.expect("connect");
    let second = TcpStream::connect(entry).await.expect("connect");
    let metrics = Arc::new(OtelMetrics::new().expect("metrics"));
    let result: Result<FrameDuplex<u32, u32>, DialError> = dial_link(entry, metrics).await;
    let error = result.expect_err("nobody accepts");
    assert_eq!(error.outcome(), DialOutcome::NoResponse);
    let error = error.to_string();
    assert!(error.contains("connect timed out"), "{error}");
    drop((first, second));
}

/// A host whose process is not running yet must be told apart from an unavailable one, which is
/// dialled less often.
#[tokio::test]
async fn a_dial_is_refused_by_a_host_without_a_listener() {
    let listener = TcpSocket::new_v4().expect("socket");
    listener
        .bind(SocketAddr::from(([127, 0, 0, 1], 0)))
        .expect("bind");
    let entry = listener.local_addr().expect("address");
    let metrics = Arc::new(OtelMetrics::new().expect("metrics"));
    let result: Result<FrameDuplex<u32, u32>, DialError> = dial_link(entry, metrics).await;
    let error = result.expect_err("nobody listens");
    assert_eq!(error.outcome(), DialOutcome::Refused);
}
