//! Tests of the connections that are closed, and crowds beside ordinary clients.

use {
    super::{
        CloseCause, CloseMode, Closing, ConnectionId, ConnectionLimits, ConnectionTable, Stage,
    },
    crate::core::time::Instant,
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::collections::BTreeSet,
};

const LIMITS: ConnectionLimits = ConnectionLimits {
    max_connections: 16,
    max_buffered_bytes: 100_000,
};
const MAX_REQUEST_BYTES: usize = 50_000;

/// A table whose clock a test sets.
#[derive(Debug)]
struct Server {
    table: ConnectionTable,
    now: Instant,
    /// Connections that were closed without waiting for their clients.
    aborted: BTreeSet<ConnectionId>,
}

impl Server {
    fn new() -> Self {
        Self {
            table: ConnectionTable::new(LIMITS),
            now: Instant::default(),
            aborted: BTreeSet::new(),
        }
    }

    fn wait_ms(&mut self, millis: u64) {
        self.now = self.now.plus_ms(millis);
    }

    fn open(&mut self) -> (ConnectionId, Vec<Closing>) {
        let opened = self.table.open(self.now).expect("a connection");
        if let Some(aborted) = opened.aborted {
            self.table.remove(aborted);
            self.aborted.insert(aborted);
        }
        (opened.id, opened.closed.into_iter().collect())
    }

    /// Opens a connection whose body occupies so many bytes.
    fn open_body(&mut self, bytes: usize) -> (ConnectionId, Vec<Closing>) {
        let (id, mut closed) = self.open();
        assert!(self.table.enter(id, Stage::Body, self.now));
        closed.extend(self.grow(id, bytes));
        (id, closed)
    }

    fn grow(&mut self, id: ConnectionId, bytes: usize) -> Vec<Closing> {
        self.table.grow(id, bytes, MAX_REQUEST_BYTES, self.now)
    }

    fn enter(&mut self, id: ConnectionId, stage: Stage) -> bool {
        self.table.enter(id, stage, self.now)
    }
}

fn ids(closed: &[Closing]) -> Vec<ConnectionId> {
    closed.iter().map(|closing| closing.id).collect()
}

/// A newcomer with a small request must not be closed for a crowd that holds the memory.
#[test]
fn the_request_that_holds_most_for_longest_is_closed() {
    let mut server = Server::new();
    let (first, _) = server.open_body(45_000);
    server.wait_ms(1_000);
    let (second, _) = server.open_body(45_000);
    server.wait_ms(1);
    let (newcomer, closed) = server.open_body(20_000);
    assert_eq!(ids(&closed), [first]);
    assert_eq!(closed[0].cause, CloseCause::Memory);
    assert_eq!(closed[0].mode, CloseMode::Reject);
    assert_eq!(closed[0].held_ms, 1_001);
    assert!(!server.enter(first, Stage::Handling));
    assert!(server.enter(second, Stage::Handling));
    assert!(server.enter(newcomer, Stage::Handling));
    assert_eq!(server.table.buffered_bytes(), 65_000);
}

/// The jobs of complete requests run; their clients must get the outcome.
#[test]
fn a_complete_request_is_never_closed() {
    let mut server = Server::new();
    for _ in 0..2 {
        let (id, _) = server.open_body(45_000);
        assert!(server.enter(id, Stage::Handling));
    }
    server.wait_ms(10_000);
    let (newcomer, closed) = server.open_body(20_000);
    assert_eq!(ids(&closed), [newcomer]);
}

#[test]
fn a_connection_is_refused_if_all_others_handle_requests() {
    let mut server = Server::new();
    for _ in 0..LIMITS.max_connections {
        let (id, closed) = server.open();
        assert!(closed.is_empty());
        assert!(server.enter(id, Stage::Handling));
    }
    assert_eq!(server.table.open(server.now), None);
    assert_eq!(server.table.len(), LIMITS.max_connections);
}

/// An idle connection belongs to a client that behaved so far.
#[test]
fn unfinished_requests_are_closed_before_idle_connections() {
    let mut server = Server::new();
    let (idle, _) = server.open();
    assert!(server.enter(idle, Stage::Idle));
    let mut silent = Vec::new();
    for _ in 1..LIMITS.max_connections {
        server.wait_ms(10);
        silent.push(server.open().0);
    }
    for oldest in silent {
        let (newcomer, closed) = server.open();
        assert_eq!(ids(&closed), [oldest]);
        assert_eq!(closed[0].mode, CloseMode::Abort);
        server.table.remove(oldest);
        assert!(server.enter(newcomer, Stage::Handling));
    }
    assert_eq!(ids(&server.open().1), [idle]);
}

/// Connections that wait for their client to read the response must not use up the descriptors.
#[test]
fn closing_connections_are_aborted_when_there_are_too_many() {
    let mut server = Server::new();
    let most = LIMITS.max_connections + LIMITS.max_connections / 8;
    for _ in 0..200 {
        server.wait_ms(1);
        server.open_body(10);
        assert!(server.table.len() <= most, "{}", server.table.len());
    }
    assert_eq!(server.aborted.len(), 200 - most);
}

/// A keep-alive connection occupies nothing between requests.
#[test]
fn a_response_releases_the_bytes_of_its_request() {
    let mut server = Server::new();
    let (id, _) = server.open();
    for _ in 0..100 {
        let closed = server.table.receive(id, 500, MAX_REQUEST_BYTES, server.now);
        assert!(closed.is_empty());
        assert!(server.enter(id, Stage::Body));
        // Counted when the body is kept.
        server
            .table
            .receive(id, 30_000, MAX_REQUEST_BYTES, server.now);
        assert!(server.grow(id, 30_000).is_empty());
        assert!(server.enter(id, Stage::Handling));
        assert_eq!(server.table.buffered_bytes(), 30_500);
        assert!(server.enter(id, Stage::Idle));
        assert_eq!(server.table.buffered_bytes(), 0);
    }
    server.table.remove(id);
    assert_eq!(server.table.len(), 0);
}

/// The configuration's limits may be larger than the memory in the settings.
#[test]
fn the_largest_request_always_fits_alone() {
    let mut server = Server::new();
    let (id, _) = server.open();
    assert!(server.enter(id, Stage::Body));
    let largest = LIMITS.max_buffered_bytes * 3;
    assert!(
        server
            .table
            .grow(id, largest, largest, server.now)
            .is_empty()
    );
    assert!(server.enter(id, Stage::Handling));
}

/// What an ordinary client waits for.
#[derive(Debug)]
struct Ordinary {
    id: ConnectionId,
    begun_at: Instant,
}

/// Crowds of clients that hold unfinished bodies, beside ordinary clients whose requests are complete a
/// moment after they begin and are handled for a while.
fn simulate(seed: u64) -> (usize, usize) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut server = Server::new();
    let mut held: BTreeSet<ConnectionId> = BTreeSet::new();
    let mut receiving: Vec<Ordinary> = Vec::new();
    let mut handling: Vec<Ordinary> = Vec::new();
    let (mut served, mut refused) = (0, 0);
    for _ in 0..5_000 {
        server.wait_ms(1);
        let mut closed = Vec::new();
        // The crowd opens connections and lets its bodies grow.
        if random.random_bool(0.5) {
            let (id, evicted) = server.open_body(random.random_range(0..2_000));
            closed.extend(evicted);
            held.insert(id);
        }
        let growing: Vec<ConnectionId> = held.iter().copied().collect();
        for id in growing {
            closed.extend(server.grow(id, random.random_range(0..3_000)));
        }
        if random.random_bool(0.2) && handling.len() < 8 {
            let (id, evicted) = server.open_body(700);
            closed.extend(evicted);
            let begun_at = server.now;
            receiving.push(Ordinary { id, begun_at });
        }
        let now = server.now;
        for client in receiving.extract_if(.., |client| now.millis_since(client.begun_at) >= 2) {
            if server.table.enter(client.id, Stage::Handling, now) {
                handling.push(client);
            } else {
                refused += 1;
            }
        }
        for client in handling.extract_if(.., |client| now.millis_since(client.begun_at) >= 60) {
            // The request was complete, so that its response must arrive.
            assert!(
                server.table.enter(client.id, Stage::Idle, now),
                "seed {seed}"
            );
            server.table.remove(client.id);
            served += 1;
        }
        for closing in closed {
            assert!(
                handling.iter().all(|client| client.id != closing.id),
                "seed {seed}"
            );
            if held.remove(&closing.id) {
                server.table.remove(closing.id);
            }
        }
        assert!(
            server.table.buffered_bytes() <= LIMITS.max_buffered_bytes,
            "seed {seed}"
        );
        let most = LIMITS.max_connections + LIMITS.max_connections / 8;
        assert!(
            server.table.len() <= most,
            "seed {seed}: {}",
            server.table.len()
        );
    }
    (served, refused)
}

/// Ordinary clients are served beside a crowd that never finishes.
#[test]
fn ordinary_clients_are_served_beside_a_crowd() {
    for seed in 0..50 {
        let (served, refused) = simulate(seed);
        assert!(served > 100, "seed {seed}: {served}");
        assert!(
            refused * 20 <= served,
            "seed {seed}: {refused} of {served} refused"
        );
    }
}
