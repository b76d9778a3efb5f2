//! Settings of entries and agents on a site.

use {
    super::{
        LogSettings, TableReader,
        connection_settings::{ConnectionSettings, read_connection_settings},
    },
    crate::core::work::RunLimits,
    std::net::SocketAddr,
};

/// Settings that entries and agents on a site share.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct SiteSettings {
    /// The process's name in logs.
    pub(crate) name: String,
    /// The host's availability zone.
    pub(crate) availability_zone: String,
    /// Listen address for metrics.
    pub(crate) metrics_listen: SocketAddr,
    /// Address of the platform's store.
    pub(crate) store: SocketAddr,
    /// Time limits that prevent two runs of one task from overlapping.
    pub(crate) limits: RunLimits,
    /// Time between the stop signal and the kill by the platform, in seconds.
    pub(crate) stop_grace_s: u64,
    /// Limits on the connections to each server of the process.
    pub(crate) accepted: ConnectionSettings,
    /// Settings of the process log.
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
            accepted: read_connection_settings(reader),
            log: reader.table("log", LogSettings::read),
        }
    }
}

/// Settings of an entry on a site.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct SiteEntrySettings {
    /// Settings shared with agents.
    pub(crate) site: SiteSettings,
    /// Listen address for clients.
    pub(crate) client_listen: SocketAddr,
    /// Listen address for the load balancer's readiness checks.
    pub(crate) ready_listen: SocketAddr,
    /// Listen address for agents.
    pub(crate) link_listen: SocketAddr,
    /// Address advertised to agents; `link_listen` by default.
    pub(crate) link_addr: SocketAddr,
    /// Factor of the run time of a task whose data is on another rack, in thousandths.
    pub(crate) remote_penalty_permille: u32,
}

impl SiteEntrySettings {
    /// Reads the root table of the settings file.
    pub(crate) fn read(reader: &mut TableReader<'_>) -> Self {
        let link_listen = reader.socket_addr("link_listen");
        Self {
            site: SiteSettings::read(reader),
            client_listen: reader.socket_addr("client_listen"),
            ready_listen: reader.socket_addr("ready_listen"),
            link_listen,
            link_addr: reader.socket_addr_or("link_addr", link_listen),
            remote_penalty_permille: reader.permille("remote_penalty", 1..=100, 1_000),
        }
    }
}

/// Settings of an agent on a site.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct SiteAgentSettings {
    /// Settings shared with entries.
    pub(crate) site: SiteSettings,
    /// Service of the local worker.
    pub(crate) service: String,
    /// Address of the local worker.
    pub(crate) worker: SocketAddr,
    /// Listen address for the worker's reports.
    pub(crate) worker_listen: SocketAddr,
    /// Entries to connect to at start if the entry list can't be read; some may no longer exist.
    pub(crate) seeds: Vec<SocketAddr>,
}

impl SiteAgentSettings {
    /// Reads the root table of the settings file.
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

/// Kind of deployment that a settings file is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Deployment {
    /// Clients and backend servers use rattanslip's own protocols.
    Standalone,
    /// The site's platform defines the store and the protocols of workers and clients.
    Site,
}

impl Deployment {
    /// Reads the `deployment` field.
    pub(crate) fn read(reader: &mut TableReader<'_>) -> Self {
        reader.choice(
            "deployment",
            &[("standalone", Self::Standalone), ("site", Self::Site)],
            Self::Standalone,
        )
    }
}
