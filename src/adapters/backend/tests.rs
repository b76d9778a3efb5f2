//! Tests of the connections to the backend server.

use {
    super::HttpBackend,
    crate::{
        core::{
            gate::SharedPermit,
            job::{TaskOutcome, TaskRef},
            message::StartFrame,
            ticket::{AgentId, TicketId},
            time::Instant,
            verdict::{MayHaveRunReason, NotRunReason},
        },
        ports::{BackendServer, TimerService},
    },
    std::sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpListener,
        sync::mpsc,
    },
};

/// A clock that the test advances.
#[derive(Debug, Default)]
struct ManualClock(AtomicU64);

impl TimerService for ManualClock {
    fn now(&self) -> Instant {
        Instant::from_millis(self.0.load(Ordering::SeqCst))
    }

    fn subscribe(&self, _period_ms: u64) -> mpsc::Receiver<Instant> {
        mpsc::channel(1).1
    }
}

/// A backend server that responds "done" and records the bytes that it reads.
#[derive(Debug)]
struct Server {
    connections: Arc<AtomicU64>,
    /// Connections with lower numbers deliver nothing any more.
    silent_below: Arc<AtomicU64>,
    read: Arc<Mutex<Vec<u8>>>,
}

async fn backend(permit: &Arc<SharedPermit>, clock: &Arc<ManualClock>) -> (HttpBackend, Server) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listen");
    let addr = listener.local_addr().expect("address");
    let server = Server {
        connections: Arc::default(),
        silent_below: Arc::default(),
        read: Arc::default(),
    };
    let (connections, read) = (Arc::clone(&server.connections), Arc::clone(&server.read));
    let silent_below = Arc::clone(&server.silent_below);
    tokio::spawn(async move {
        while let Ok((mut socket, _)) = listener.accept().await {
            let number = connections.fetch_add(1, Ordering::SeqCst);
            let (read, silent_below) = (Arc::clone(&read), Arc::clone(&silent_below));
            tokio::spawn(async move {
                let mut buffer = [0; 4_096];
                while let Ok(bytes @ 1..) = socket.read(&mut buffer).await {
                    read.lock().expect("lock").extend(&buffer[..bytes]);
                    if number < silent_below.load(Ordering::SeqCst) {
                        continue;
                    }
                    let reply = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone";
                    socket.write_all(reply).await.expect("write");
                }
            });
        }
    });
    let timer = Arc::clone(clock) as Arc<dyn TimerService>;
    let backend = HttpBackend::new(4, Arc::clone(permit), timer);
    backend.set_addr(addr);
    (backend, server)
}

fn start(index: u16) -> StartFrame {
    let id = TicketId {
        home: AgentId(1),
        generation: 1,
        counter: 1,
    };
    StartFrame {
        task: TaskRef { ticket: id, index },
        service: "crew-share".to_owned(),
        input: "share".to_owned(),
        deadline_ms: 10_000,
        memory_mb: 0,
        accelerators: 0,
    }
}

fn done() -> TaskOutcome {
    TaskOutcome::Done {
        output: "done".to_owned(),
    }
}

/// A process that is suspended between accepting a start and writing the request must not start the
/// task after its permit has expired. The jump of the clock stands for the suspension.
#[tokio::test]
async fn a_request_whose_permit_expired_before_the_write_sends_no_bytes() {
    let (permit, clock) = (
        Arc::new(SharedPermit::default()),
        Arc::new(ManualClock::default()),
    );
    let (backend, server) = backend(&permit, &clock).await;
    permit.set_expiry(Instant::from_millis(3_000));
    assert_eq!(backend.run(start(0)).await, done());
    let before = server.read.lock().expect("lock").len();

    clock.0.store(3_000, Ordering::SeqCst);
    for (index, connections) in [(1, 1), (2, 2)] {
        let outcome = backend.run(start(index)).await;
        let reason = NotRunReason::NoPermit;
        assert_eq!(outcome, TaskOutcome::NotRun { reason });
        assert_eq!(server.read.lock().expect("lock").len(), before);
        assert_eq!(server.connections.load(Ordering::SeqCst), connections);
    }

    permit.set_expiry(Instant::from_millis(6_000));
    assert_eq!(backend.run(start(3)).await, done());
}

#[tokio::test]
async fn an_idle_connection_is_reused() {
    let (permit, clock) = (
        Arc::new(SharedPermit::default()),
        Arc::new(ManualClock::default()),
    );
    permit.set_expiry(Instant::from_millis(3_000));
    let (backend, server) = backend(&permit, &clock).await;
    for index in 0..5 {
        assert_eq!(backend.run(start(index)).await, done());
    }
    assert_eq!(server.connections.load(Ordering::SeqCst), 1);
}

/// Each idle connection that had gone silent cost another task.
#[tokio::test]
async fn silent_connections_cost_one_deadline() {
    let (permit, clock) = (
        Arc::new(SharedPermit::default()),
        Arc::new(ManualClock::default()),
    );
    permit.set_expiry(Instant::from_millis(3_000));
    let (backend, server) = backend(&permit, &clock).await;
    let outcomes = tokio::join!(backend.run(start(0)), backend.run(start(1)));
    assert_eq!(outcomes, (done(), done()));
    let opened = server.connections.load(Ordering::SeqCst);
    assert_eq!(opened, 2);
    server.silent_below.store(opened, Ordering::SeqCst);
    let late = StartFrame {
        deadline_ms: 100,
        ..start(2)
    };
    let reason = MayHaveRunReason::DeadlinePassed;
    assert_eq!(backend.run(late).await, TaskOutcome::MayHaveRun { reason });
    assert_eq!(backend.run(start(3)).await, done());
}
