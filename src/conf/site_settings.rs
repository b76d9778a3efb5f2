//! Settings of entries and agents on a site with a platform store.

use {
    super::{LogSettings, TableReader},
    crate::core::work::RunLimits,
    std::net::SocketAddr,
};

/// What entries and agents have in common.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct SiteSettings {
    /// The process's name in logs.
    pub(crate) name: String,
    /// The host's availability zone.
    pub(crate) availability_zone: String,
    /// Where metrics are served.
    pub(crate) metrics_listen: SocketAddr,
    /// The platform's store.
    pub(crate) store: SocketAddr,
    /// Bounds that keep two runs of one task apart.
    pub(crate) limits: RunLimits,
    /// Time from the signal to stop until the process is killed, in seconds.
    pub(crate) stop_grace_s: u64,
    /// How the process logs.
    pub(crate) log: LogSettings,
}

impl SiteSettings {
    fn read(reader: &mut TableReader<'_>) -> Self {
        let resend_ms = reader.number("resend_ms", 500..=60_000, Some(1_300));
        let stop_ms = reader.number("stop_ms", 1..=5_000, Some(50));
        Self {
            name: reader.name("name"),
            availability_zone: reader.name("availability_zone"),
            metrics_listen: reader.socket_addr("metrics_listen"),
            store: reader.socket_addr("store"),
            limits: RunLimits::for_resend(resend_ms, stop_ms),
            stop_grace_s: reader.number("stop_grace_s", 1..=3_600, Some(6)),
            log: reader.table("log", LogSettings::read),
        }
    }
}

/// Everything that an entry on such a site takes from its file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct SiteEntrySettings {
    /// What it has in common with agents.
    pub(crate) site: SiteSettings,
    /// Where clients connect.
    pub(crate) client_listen: SocketAddr,
    /// Where the balancer asks whether it is ready.
    pub(crate) ready_listen: SocketAddr,
    /// Where agents connect.
    pub(crate) link_listen: SocketAddr,
    /// Where agents reach it, if not where it listens.
    pub(crate) link_addr: SocketAddr,
}

impl SiteEntrySettings {
    /// Reads the file's root table.
    pub(crate) fn read(reader: &mut TableReader<'_>) -> Self {
        let link_listen = reader.socket_addr("link_listen");
        Self {
            site: SiteSettings::read(reader),
            client_listen: reader.socket_addr("client_listen"),
            ready_listen: reader.socket_addr("ready_listen"),
            link_listen,
            link_addr: reader.socket_addr_or("link_addr", link_listen),
        }
    }
}

/// Everything that an agent on such a site takes from its file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct SiteAgentSettings {
    /// What it has in common with entries.
    pub(crate) site: SiteSettings,
    /// The service of the worker beside it.
    pub(crate) service: String,
    /// Where the worker takes calls.
    pub(crate) worker: SocketAddr,
    /// Where the worker reports.
    pub(crate) worker_listen: SocketAddr,
    /// Entries to begin with where the list of them can't be read; some may be gone.
    pub(crate) seeds: Vec<SocketAddr>,
}

impl SiteAgentSettings {
    /// Reads the file's root table.
    pub(crate) fn read(reader: &mut TableReader<'_>) -> Self {
        Self {
            site: SiteSettings::read(reader),
            service: reader.name("service"),
            worker: reader.socket_addr("worker"),
            worker_listen: reader.socket_addr("worker_listen"),
            seeds: reader.socket_addrs("seeds"),
        }
    }
}

/// Which kind of deployment a settings file is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Deployment {
    /// The product's own interfaces, towards clients and backend servers alike.
    Standalone,
    /// A site with a platform's store, workers and clients.
    Site,
}

impl Deployment {
    /// Reads which kind a file is for.
    pub(crate) fn read(reader: &mut TableReader<'_>) -> Self {
        reader.choice(
            "deployment",
            &[("standalone", Self::Standalone), ("site", Self::Site)],
            Self::Standalone,
        )
    }
}
