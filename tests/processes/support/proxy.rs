//! A TCP proxy that can lose track of its connections, or cut them.

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

/// Forwards connections; those opened before a fault are lost, new ones work.
#[derive(Debug)]
pub struct Proxy {
    /// Where it listens.
    pub addr: SocketAddr,
    silent_before: watch::Sender<u64>,
    refuse_new: watch::Sender<bool>,
    opened: Arc<AtomicU64>,
}

impl Proxy {
    /// Listens on a port of its own and forwards to `to`.
    pub async fn start(to: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("listen");
        let addr = listener.local_addr().expect("address");
        let (silent_before, silent) = watch::channel(0);
        let (refuse_new, refuse) = watch::channel(false);
        let opened = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&opened);
        tokio::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                if *refuse.borrow() {
                    continue;
                }
                let number = counter.fetch_add(1, Ordering::SeqCst);
                tokio::spawn(forward(socket, to, number, silent.clone()));
            }
        });
        Self {
            addr,
            silent_before,
            refuse_new,
            opened,
        }
    }

    /// From now on swallows the bytes of all connections open now, without closing them.
    pub fn go_silent(&self) {
        let opened = self.opened.load(Ordering::SeqCst);
        self.silent_before.send_replace(opened);
    }

    /// Swallows everything and closes new connections at once: the two ends are cut apart.
    pub fn cut(&self) {
        self.refuse_new.send_replace(true);
        self.go_silent();
    }

    /// Lets new connections through again.
    pub fn heal(&self) {
        self.refuse_new.send_replace(false);
    }
}

async fn forward(socket: TcpStream, to: SocketAddr, number: u64, silent: watch::Receiver<u64>) {
    let Ok(target) = TcpStream::connect(to).await else {
        return;
    };
    // Small frames must not wait for each other's acknowledgement.
    let _ = socket.set_nodelay(true);
    let _ = target.set_nodelay(true);
    let (from_client, to_client) = socket.into_split();
    let (from_target, to_target) = target.into_split();
    tokio::join!(
        copy(from_client, to_target, number, silent.clone()),
        copy(from_target, to_client, number, silent),
    );
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    number: u64,
    silent: watch::Receiver<u64>,
) {
    let mut buffer = vec![0; 64 * 1024];
    loop {
        let read = from.read(&mut buffer).await.unwrap_or(0);
        if number < *silent.borrow() {
            if read == 0 {
                // Not even the close gets through.
                std::future::pending::<()>().await;
            }
            continue;
        }
        if read == 0 || to.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
}
