//! Settings of `rattanslip-agent`.

use {
    super::{LogSettings, TableReader},
    std::net::SocketAddr,
};

/// How a home places tasks on runners.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PlacementSetting {
    /// Where most slots are free.
    MostFree,
    /// Anywhere, whatever the load: the naive policy that measurements compare with.
    Random,
}

/// Everything that an agent takes from its file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct AgentSettings {
    /// The worker's name in the configuration.
    pub(crate) worker: String,
    /// The worker's availability zone.
    pub(crate) availability_zone: String,
    /// Where entries and other agents connect.
    pub(crate) peer_listen: SocketAddr,
    /// Where entries and other agents reach it, if not where it listens.
    pub(crate) peer_addr: SocketAddr,
    /// Where the backend server announces itself; also metrics and health.
    pub(crate) http_listen: SocketAddr,
    /// Entries to announce to.
    pub(crate) entries: Vec<SocketAddr>,
    /// Most tasks run at a time, whatever the backend server announces.
    pub(crate) slots: u16,
    /// Connections kept to the backend server.
    pub(crate) connections: usize,
    /// For how long a granted ticket is good.
    pub(crate) ticket_ttl_ms: u64,
    /// Most bytes of answers kept for resubmissions.
    pub(crate) answers_limit_bytes: usize,
    /// Silence of a runner after which this home gives its tasks up.
    pub(crate) runner_lost_after_ms: u64,
    /// Longest time that a planned stop may take.
    pub(crate) stop_limit_ms: u64,
    /// How this home places tasks on runners.
    pub(crate) placement: PlacementSetting,
    /// How the process logs.
    pub(crate) log: LogSettings,
}

impl AgentSettings {
    /// Reads the file's root table.
    pub(crate) fn read(reader: &mut TableReader<'_>) -> Self {
        let peer_listen = reader.socket_addr("peer_listen");
        let settings = Self {
            worker: reader.name("worker"),
            availability_zone: reader.name("availability_zone"),
            peer_listen,
            peer_addr: reader.socket_addr_or("peer_addr", peer_listen),
            http_listen: reader.socket_addr("http_listen"),
            entries: reader.socket_addrs("entries"),
            slots: reader.number("slots", 1..=1_024, Some(8)),
            connections: reader.number("connections", 1..=4_096, Some(64)),
            ticket_ttl_ms: reader.number("ticket_ttl_ms", 240_000..=86_400_000, Some(600_000)),
            answers_limit_bytes: reader.number(
                "answers_limit_bytes",
                1_048_576..=1_073_741_824,
                Some(33_554_432),
            ),
            runner_lost_after_ms: reader.number("runner_lost_after_ms", 500..=60_000, Some(5_000)),
            stop_limit_ms: reader.number("stop_limit_ms", 1_000..=300_000, Some(30_000)),
            placement: reader.choice(
                "placement",
                &[
                    ("most_free", PlacementSetting::MostFree),
                    ("random", PlacementSetting::Random),
                ],
                PlacementSetting::MostFree,
            ),
            log: reader.table("log", LogSettings::read),
        };
        if settings.entries.is_empty() {
            reader.report_fault("entries", "must name at least one entry");
        }
        settings
    }
}
