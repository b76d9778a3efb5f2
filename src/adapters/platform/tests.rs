//! Tests of calls to the platform.

use {
    super::HttpStore,
    crate::{adapters::metrics::OtelMetrics, ports::ObjectStore},
    std::{sync::Arc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpListener,
    },
};

/// The timeout of a call must not limit the total time of a response that keeps arriving.
#[tokio::test]
async fn a_slowly_arriving_object_is_not_timed_out() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
    let addr = listener.local_addr().expect("address");
    tokio::spawn(async move {
        let (mut socket, _) = listener.accept().await.expect("connection");
        let read = socket.read(&mut [0; 1_024]).await.expect("request");
        assert!(read > 0);
        let head = "HTTP/1.1 200 OK\r\ncontent-length: 8000\r\n\r\n";
        socket.write_all(head.as_bytes()).await.expect("head");
        for _ in 0..8 {
            tokio::time::sleep(Duration::from_millis(150)).await;
            socket.write_all(&[b'x'; 1_000]).await.expect("part");
        }
    });
    let metrics = Arc::new(OtelMetrics::new().expect("metrics"));
    let store = HttpStore::new(addr, 600, metrics);
    let text = store.get_object("document").await.expect("response");
    assert_eq!(text, Some("x".repeat(8_000)));
}
