//! Settings of `rattanslip-agent`.

use {
    super::{
        LogSettings, TableReader,
        connection_settings::{ConnectionSettings, read_connection_settings, read_http_limits},
    },
    crate::core::routes::HttpLimits,
    std::net::SocketAddr,
};

/// Policy by which a home places tasks on runners.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PlacementSetting {
    /// The runner with the most free slots.
    MostFree,
    /// A random runner, regardless of its load; the baseline for measurements.
    Random,
}

/// Settings of an agent in a standalone deployment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct AgentSettings {
    /// The worker's name in the configuration.
    pub(crate) worker: String,
    /// The worker's availability zone.
    pub(crate) availability_zone: String,
    /// Listen address for entries and other agents.
    pub(crate) peer_listen: SocketAddr,
    /// Address advertised to entries and other agents; `peer_listen` by default.
    pub(crate) peer_addr: SocketAddr,
    /// Listen address for the backend server's announcements, metrics and health checks.
    pub(crate) http_listen: SocketAddr,
    /// Peer addresses of the entries to announce to.
    pub(crate) entries: Vec<SocketAddr>,
    /// Upper limit of concurrent tasks, even if the backend server announces more slots.
    pub(crate) slots: u16,
    /// Size of the connection pool to the backend server.
    pub(crate) connections: usize,
    /// Validity of a granted ticket.
    pub(crate) ticket_ttl_ms: u64,
    /// Memory limit, in bytes, of the job answers retained for resubmissions.
    pub(crate) answers_limit_bytes: usize,
    /// Time without a message from a runner after which the home counts its tasks as lost.
    pub(crate) runner_lost_after_ms: u64,
    /// Time limit of a planned stop.
    pub(crate) stop_limit_ms: u64,
    /// Placement policy of this home.
    pub(crate) placement: PlacementSetting,
    /// Limits on requests by HTTP.
    pub(crate) http_limits: HttpLimits,
    /// Limits on the connections to each server of the process.
    pub(crate) accepted: ConnectionSettings,
    /// Settings of the process log.
    pub(crate) log: LogSettings,
}

impl AgentSettings {
    /// Reads the root table of the settings file.
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
            http_limits: read_http_limits(reader, 65_536),
            accepted: read_connection_settings(reader),
            log: reader.table("log", LogSettings::read),
        };
        if settings.entries.is_empty() {
            reader.report_fault("entries", "must name at least one entry");
        }
        settings
    }
}
