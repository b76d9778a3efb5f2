//! Clients that begin requests, stop before the end and stay connected.

use {
    super::{HOST, Process},
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        thread::{self, JoinHandle},
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        task::JoinSet,
        time::{sleep, timeout},
    },
};

/// After this a client that can't send any more counts as done.
const SEND_TIMEOUT: Duration = Duration::from_secs(20);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(10);
const READ_INTERVAL: Duration = Duration::from_millis(50);
/// A server that has read nothing for so many samples reads no more.
const UNCHANGED_SAMPLES: usize = 60;
const SAMPLE_INTERVAL: Duration = Duration::from_millis(5);

/// What each client of a crowd sends.
#[derive(Debug, Clone, Copy)]
pub enum Shape {
    /// A body with its length, one byte short.
    Whole { bytes: usize },
    /// A body with its length, in pieces with pauses, one byte short.
    Pieces { bytes: usize, piece_bytes: usize },
    /// A chunked body without its last chunk.
    Chunked { bytes: usize, chunk_bytes: usize },
    /// A chunked body without its last chunk; each chunk has an extension.
    Extended { bytes: usize },
    /// A header section that never ends.
    Header { bytes: usize },
    /// Nothing.
    Silent,
    /// Complete requests whose responses it doesn't read.
    Unread { requests: usize },
}

impl Shape {
    /// Parts of the request that each client sends.
    fn parts(self, path: &str) -> Vec<Vec<u8>> {
        let head =
            format!("POST {path} HTTP/1.1\r\nhost: {HOST}\r\ncontent-type: application/json\r\n");
        let with_length = |bytes: usize| {
            let mut request = format!("{head}content-length: {bytes}\r\n\r\n").into_bytes();
            request.resize(request.len() + bytes - 1, b' ');
            request
        };
        let with_chunks = |bytes: usize, chunk: Vec<u8>, chunk_bytes: usize| {
            let mut request = format!("{head}transfer-encoding: chunked\r\n\r\n").into_bytes();
            request.extend(chunk.repeat(bytes / chunk_bytes));
            request
        };
        match self {
            Self::Whole { bytes } => vec![with_length(bytes)],
            Self::Pieces { bytes, piece_bytes } => {
                let pieces = with_length(bytes);
                pieces.chunks(piece_bytes).map(<[u8]>::to_vec).collect()
            }
            Self::Chunked { bytes, chunk_bytes } => {
                let chunk = format!("{chunk_bytes:x}\r\n{}\r\n", " ".repeat(chunk_bytes));
                vec![with_chunks(bytes, chunk.into_bytes(), chunk_bytes)]
            }
            Self::Extended { bytes } => vec![with_chunks(bytes, b"1;a\r\n \r\n".to_vec(), 1)],
            Self::Header { bytes } => vec![format!("{head}x: {}", "x".repeat(bytes)).into_bytes()],
            Self::Silent => Vec::new(),
            Self::Unread { requests } => {
                let request = format!("GET {path} HTTP/1.1\r\nhost: {HOST}\r\n\r\n");
                vec![request.repeat(requests).into_bytes()]
            }
        }
    }

    const fn pause(self) -> Duration {
        match self {
            Self::Pieces { .. } => Duration::from_millis(50),
            _ => Duration::ZERO,
        }
    }
}

/// A crowd's connections, open until dropped.
#[derive(Debug)]
pub struct Crowd(Vec<TcpStream>);

impl Crowd {
    /// Connects `clients` clients and lets each send its request as far as the server takes it.
    pub async fn send(to: SocketAddr, path: &str, clients: usize, shape: Shape) -> Self {
        let parts = Arc::new(shape.parts(path));
        let mut sending = JoinSet::new();
        for _ in 0..clients {
            let parts = Arc::clone(&parts);
            sending.spawn(async move {
                let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(to));
                let mut socket = connecting.await.ok()?.ok()?;
                let send = async {
                    for part in parts.iter() {
                        socket.write_all(part).await?;
                        sleep(shape.pause()).await;
                    }
                    Ok::<_, std::io::Error>(())
                };
                // The server may close the connection or stop reading.
                let _ = timeout(SEND_TIMEOUT, send).await;
                Some(socket)
            });
        }
        let sockets = sending.join_all().await.into_iter().flatten().collect();
        wait_until_read(to.port()).await;
        Self(sockets)
    }

    /// Number of clients that reached the server.
    pub const fn connected(&self) -> usize {
        self.0.len()
    }
}

/// Waits until a server has read all that the system received for it, or reads no more.
pub async fn wait_until_read(port: u16) {
    let (mut last, mut unchanged) = (0, 0);
    while unchanged < UNCHANGED_SAMPLES {
        sleep(READ_INTERVAL).await;
        let bytes = unread_bytes(port);
        unchanged = if bytes == last { unchanged + 1 } else { 0 };
        last = bytes;
        if bytes == 0 && unchanged > 0 {
            return;
        }
    }
}

/// Bytes that the system received for the connections to a port and nobody has read.
fn unread_bytes(port: u16) -> u64 {
    let sockets = std::fs::read_to_string("/proc/net/tcp").expect("sockets");
    let local = format!(":{port:04X}");
    let queues = sockets.lines().skip(1).filter_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let is_local = fields.get(1)?.ends_with(&local);
        let (_, received) = fields.get(4)?.split_once(':')?;
        u64::from_str_radix(received, 16).ok().filter(|_| is_local)
    });
    queues.sum()
}

/// Sends a complete request in the same ways; returns its status.
pub async fn send_slowly(to: SocketAddr, head: &str, body: &[u8], pause: Duration) -> String {
    let mut socket = TcpStream::connect(to).await.expect("connect");
    socket.write_all(head.as_bytes()).await.expect("header");
    for part in body.chunks(if pause.is_zero() { body.len() } else { 32_768 }) {
        socket.write_all(part).await.expect("body");
        sleep(pause).await;
    }
    let mut response = [0; 256];
    let reading = timeout(Duration::from_secs(30), socket.read(&mut response));
    let read = reading.await.expect("a response").expect("a response");
    let text = String::from_utf8_lossy(&response[..read]).into_owned();
    text.split(' ').nth(1).unwrap_or_default().to_owned()
}

/// Samples the number of open descriptors of a process.
#[derive(Debug)]
pub struct DescriptorSampler {
    stopped: Arc<AtomicBool>,
    thread: JoinHandle<usize>,
}

impl DescriptorSampler {
    pub fn start(process: &Process) -> Self {
        let stopped = Arc::new(AtomicBool::new(false));
        let stop = Arc::clone(&stopped);
        let id = process.id();
        let thread = thread::spawn(move || {
            let mut most = 0;
            while !stop.load(Ordering::Relaxed) {
                most = most.max(descriptors(id));
                thread::sleep(SAMPLE_INTERVAL);
            }
            most
        });
        Self { stopped, thread }
    }

    /// Most descriptors that were open at a time.
    pub fn most(self) -> usize {
        self.stopped.store(true, Ordering::Relaxed);
        self.thread.join().expect("sampler")
    }
}

fn descriptors(process: u32) -> usize {
    std::fs::read_dir(format!("/proc/{process}/fd")).map_or(0, Iterator::count)
}
