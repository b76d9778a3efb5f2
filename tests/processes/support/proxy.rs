//! A TCP proxy that can blackhole its open connections, partition its two ends, or turn requests away.

use {
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{
            TcpListener, TcpStream,
            tcp::{OwnedReadHalf, OwnedWriteHalf},
        },
        sync::watch,
    },
};

/// How a proxy turns HTTP requests away.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rejection {
    /// Responds with this status.
    Status(u16),
    /// Closes each connection.
    Close,
    /// Never responds.
    Silence,
}

/// Forwards TCP connections until a fault is injected.
#[derive(Debug)]
pub struct Proxy {
    pub addr: SocketAddr,
    blackholed_below: watch::Sender<u64>,
    reject_new: watch::Sender<bool>,
    rejection: watch::Sender<Option<Rejection>>,
    connection_count: Arc<AtomicU64>,
}

impl Proxy {
    /// Listens on an ephemeral port and forwards connections to `to`.
    pub async fn start(to: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("listen");
        let addr = listener.local_addr().expect("address");
        let (blackholed_below, blackholed_receiver) = watch::channel(0);
        let (reject_new, reject_receiver) = watch::channel(false);
        let (rejection, rejection_receiver) = watch::channel(None);
        let connection_count = Arc::new(AtomicU64::new(0));
        let accept_count = Arc::clone(&connection_count);
        tokio::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                if *reject_receiver.borrow() {
                    continue;
                }
                let number = accept_count.fetch_add(1, Ordering::SeqCst);
                tokio::spawn(serve(
                    socket,
                    to,
                    number,
                    blackholed_receiver.clone(),
                    rejection_receiver.clone(),
                ));
            }
        });
        Self {
            addr,
            blackholed_below,
            reject_new,
            rejection,
            connection_count,
        }
    }

    /// Discards all further bytes of the open connections without closing them.
    pub fn blackhole_open_connections(&self) {
        let connection_count = self.connection_count.load(Ordering::SeqCst);
        self.blackholed_below.send_replace(connection_count);
    }

    /// Turns all requests away, also those under way; `None` forwards new ones again.
    pub fn turn_away(&self, rejection: Option<Rejection>) {
        self.rejection.send_replace(rejection);
    }

    /// Number of connections that were opened.
    pub fn connection_count(&self) -> u64 {
        self.connection_count.load(Ordering::SeqCst)
    }

    /// Blackholes the open connections and closes new ones immediately.
    pub fn partition(&self) {
        self.reject_new.send_replace(true);
        self.blackhole_open_connections();
    }

    /// Accepts new connections again; connections that were open stay blackholed.
    pub fn heal(&self) {
        self.reject_new.send_replace(false);
    }
}

/// Forwards a connection until requests are turned away.
async fn serve(
    mut socket: TcpStream,
    to: SocketAddr,
    number: u64,
    blackholed_receiver: watch::Receiver<u64>,
    mut rejection_receiver: watch::Receiver<Option<Rejection>>,
) {
    let rejection = *rejection_receiver.borrow_and_update();
    match rejection {
        None => {
            tokio::select! {
                () = forward(socket, to, number, blackholed_receiver) => {}
                _ = rejection_receiver.wait_for(Option::is_some) => {}
            }
        }
        Some(Rejection::Close) => {}
        Some(Rejection::Silence) => {
            // The connection stays silent for good, like one to a host that is gone.
            while socket
                .read(&mut [0; 4_096])
                .await
                .is_ok_and(|read| read > 0)
            {}
        }
        Some(Rejection::Status(status)) => {
            let response = format!("HTTP/1.1 {status} No\r\ncontent-length: 0\r\n\r\n");
            // Each request is small enough for one read.
            while socket
                .read(&mut [0; 65_536])
                .await
                .is_ok_and(|read| read > 0)
            {
                let is_over = rejection_receiver.borrow().is_none();
                if is_over || socket.write_all(response.as_bytes()).await.is_err() {
                    return;
                }
            }
        }
    }
}

async fn forward(
    socket: TcpStream,
    to: SocketAddr,
    number: u64,
    blackholed_receiver: watch::Receiver<u64>,
) {
    let Ok(target) = TcpStream::connect(to).await else {
        return;
    };
    // Small frames must not be delayed by Nagle's algorithm.
    let _ = socket.set_nodelay(true);
    let _ = target.set_nodelay(true);
    let (from_client, to_client) = socket.into_split();
    let (from_target, to_target) = target.into_split();
    tokio::join!(
        copy(from_client, to_target, number, blackholed_receiver.clone()),
        copy(from_target, to_client, number, blackholed_receiver),
    );
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    number: u64,
    blackholed_receiver: watch::Receiver<u64>,
) {
    let mut buffer = vec![0; 64 * 1024];
    loop {
        let read = from.read(&mut buffer).await.unwrap_or(0);
        if number < *blackholed_receiver.borrow() {
            if read == 0 {
                // The close is not forwarded either.
                std::future::pending::<()>().await;
            }
            continue;
        }
        if read == 0 || to.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
}
