//! Decides which connection is closed when a server's connections hold too much.

use {
    super::{CloseCause, CloseMode, Closing, ConnectionId, ConnectionLimits, Stage},
    crate::core::time::Instant,
    std::collections::BTreeMap,
};

/// Part of the connections that may be on top of the maximum while they close.
const CLOSING_DIVISOR: usize = 8;

/// What is known of one connection.
#[derive(Debug)]
struct Connection {
    stage: Stage,
    /// When the stage's request began to arrive, or when the connection became idle.
    since: Instant,
    buffered_bytes: usize,
    is_closing: bool,
}

impl Connection {
    /// Whether closing the connection interrupts no job.
    const fn can_be_closed(&self) -> bool {
        !self.is_closing && !matches!(self.stage, Stage::Handling)
    }

    /// How much memory the connection has occupied for how long.
    fn byte_micros(&self, now: Instant) -> u128 {
        let held_micros = now.micros_since(self.since).saturating_add(1);
        self.buffered_bytes as u128 * u128::from(held_micros)
    }
}

/// A new connection and what must be closed for it.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct OpenedConnection {
    pub(crate) id: ConnectionId,
    /// The connection in whose place it comes.
    pub(crate) closed: Option<Closing>,
    /// A connection that was told to close earlier and must be closed at once.
    pub(crate) aborted: Option<ConnectionId>,
}

/// The connections of one server and what they hold.
///
/// A crowd that keeps unfinished requests open must not keep others out, so it isn't the newcomer that
/// is closed when a limit is reached, but the connection with the least progress for what it holds.
/// Connections whose request is complete are never closed: their jobs would run for nobody.
#[derive(Debug)]
pub(crate) struct ConnectionTable {
    limits: ConnectionLimits,
    connections: BTreeMap<ConnectionId, Connection>,
    /// Bytes of the connections that are not closing.
    buffered_bytes: usize,
    /// Connections that are closing.
    closing: usize,
    last_id: u64,
}

impl ConnectionTable {
    pub(crate) const fn new(limits: ConnectionLimits) -> Self {
        Self {
            limits,
            connections: BTreeMap::new(),
            buffered_bytes: 0,
            closing: 0,
            last_id: 0,
        }
    }

    /// Number of connections, including those that are closing.
    pub(crate) fn len(&self) -> usize {
        self.connections.len()
    }

    /// Whether connections that are about to be closed must go before the next one is accepted.
    pub(crate) fn is_over_limit(&self) -> bool {
        self.len() > self.max_open()
    }

    /// Maximum number of connections including those that are closing.
    const fn max_open(&self) -> usize {
        self.limits.max_connections + self.limits.max_connections / CLOSING_DIVISOR
    }

    /// Bytes of requests that are being received or handled.
    pub(crate) const fn buffered_bytes(&self) -> usize {
        self.buffered_bytes
    }

    /// Number of connections in this stage that are not closing.
    pub(crate) fn count(&self, stage: Stage) -> usize {
        let connections = self.connections.values();
        connections
            .filter(|connection| connection.stage == stage && !connection.is_closing)
            .count()
    }

    /// Adds a new connection; `None` if all others handle requests.
    pub(crate) fn open(&mut self, now: Instant) -> Option<OpenedConnection> {
        let mut closed = None;
        if self.len() - self.closing >= self.limits.max_connections {
            let oldest = self.oldest_closable()?;
            closed = Some(self.close(oldest, CloseCause::Connections, now));
        }
        let has_room = self.len() < self.max_open();
        let aborted = if has_room {
            None
        } else {
            self.oldest_closing()
        };
        self.last_id += 1;
        let id = ConnectionId(self.last_id);
        let connection = Connection {
            stage: Stage::Header,
            since: now,
            buffered_bytes: 0,
            is_closing: false,
        };
        self.connections.insert(id, connection);
        Some(OpenedConnection {
            id,
            closed,
            aborted,
        })
    }

    /// Removes a connection that has been closed.
    pub(crate) fn remove(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.remove(&id) else {
            return;
        };
        if connection.is_closing {
            self.closing -= 1;
        } else {
            self.buffered_bytes -= connection.buffered_bytes;
        }
    }

    /// Changes the stage of a connection; false if the connection is closing.
    pub(crate) fn enter(&mut self, id: ConnectionId, stage: Stage, now: Instant) -> bool {
        let Some(connection) = self.connections.get_mut(&id) else {
            return false;
        };
        if connection.is_closing {
            return false;
        }
        // A body belongs to the request whose header began earlier, unless the header had been read ahead.
        if stage != Stage::Body || connection.stage == Stage::Idle {
            connection.since = now;
        }
        connection.stage = stage;
        if stage == Stage::Idle {
            self.buffered_bytes -= connection.buffered_bytes;
            connection.buffered_bytes = 0;
        }
        true
    }

    /// Adds bytes that arrived on a connection, like [`Self::grow`]. Those of a body are not added: they
    /// are kept elsewhere.
    pub(crate) fn receive(
        &mut self,
        id: ConnectionId,
        bytes: usize,
        max_request_bytes: usize,
        now: Instant,
    ) -> Vec<Closing> {
        let Some(connection) = self.connections.get_mut(&id) else {
            return Vec::new();
        };
        match connection.stage {
            Stage::Body => return Vec::new(),
            Stage::Idle if !connection.is_closing => {
                connection.stage = Stage::Header;
                connection.since = now;
            }
            _ => {}
        }
        self.grow(id, bytes, max_request_bytes, now)
    }

    /// Adds bytes that a connection occupies and returns the connections to close for them, perhaps this
    /// one. `max_request_bytes` is the size of the largest request, which always fits alone.
    pub(crate) fn grow(
        &mut self,
        id: ConnectionId,
        bytes: usize,
        max_request_bytes: usize,
        now: Instant,
    ) -> Vec<Closing> {
        let Some(connection) = self.connections.get_mut(&id) else {
            return Vec::new();
        };
        if connection.is_closing {
            return Vec::new();
        }
        connection.buffered_bytes += bytes;
        self.buffered_bytes += bytes;
        let max_bytes = self.limits.max_buffered_bytes.max(max_request_bytes);
        let mut closed = Vec::new();
        while self.buffered_bytes > max_bytes {
            let Some(largest) = self.largest_closable(now) else {
                break;
            };
            closed.push(self.close(largest, CloseCause::Memory, now));
        }
        closed
    }

    /// Unfinished requests come first, then idle connections; the longest-lasting one of each.
    fn oldest_closable(&self) -> Option<ConnectionId> {
        let closable = self
            .connections
            .iter()
            .filter(|(_, connection)| connection.can_be_closed());
        let oldest = closable
            .min_by_key(|(_, connection)| (connection.stage == Stage::Idle, connection.since));
        oldest.map(|(id, _)| *id)
    }

    /// The unfinished request that has occupied the most memory for the longest time.
    fn largest_closable(&self, now: Instant) -> Option<ConnectionId> {
        let closable = self
            .connections
            .iter()
            .filter(|(_, connection)| connection.can_be_closed() && connection.buffered_bytes > 0);
        let largest = closable.max_by_key(|(_, connection)| connection.byte_micros(now));
        largest.map(|(id, _)| *id)
    }

    fn close(&mut self, id: ConnectionId, cause: CloseCause, now: Instant) -> Closing {
        let mut closing = Closing {
            id,
            cause,
            mode: CloseMode::Abort,
            stage: Stage::Idle,
            held_ms: 0,
            buffered_bytes: 0,
        };
        if let Some(connection) = self.connections.get_mut(&id) {
            closing.stage = connection.stage;
            closing.held_ms = now.millis_since(connection.since);
            closing.buffered_bytes = connection.buffered_bytes;
            if connection.stage == Stage::Body {
                closing.mode = CloseMode::Reject;
            }
            connection.is_closing = true;
            connection.since = now;
            self.buffered_bytes -= connection.buffered_bytes;
            self.closing += 1;
        }
        closing
    }

    fn oldest_closing(&self) -> Option<ConnectionId> {
        let closing = self.connections.iter();
        let closing = closing.filter(|(_, connection)| connection.is_closing);
        let oldest = closing.min_by_key(|(_, connection)| connection.since);
        oldest.map(|(id, _)| *id)
    }
}
