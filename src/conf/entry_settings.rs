//! Settings of `rattanslip-entry`.

use {
    super::{
        LogSettings, TableReader,
        connection_settings::{ConnectionSettings, read_connection_settings, read_http_limits},
    },
    crate::core::routes::HttpLimits,
    std::net::SocketAddr,
};

/// An operator's token and the sections that it authorizes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct OperatorSettings {
    /// Author name in the configuration history.
    pub(crate) name: String,
    /// BLAKE3 digest of the token, 64 hex digits.
    pub(crate) token_blake3: String,
    /// Sections of the configuration that the operator may change.
    pub(crate) sections: Vec<String>,
}

/// Settings of an entry in a standalone deployment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct EntrySettings {
    /// The entry's name on the roster.
    pub(crate) name: String,
    /// The entry host's availability zone.
    pub(crate) availability_zone: String,
    /// Listen address for clients and operators.
    pub(crate) client_listen: SocketAddr,
    /// Listen address for agents and other entries.
    pub(crate) peer_listen: SocketAddr,
    /// Address advertised to agents and other entries; `peer_listen` by default.
    pub(crate) peer_addr: SocketAddr,
    /// Address of the platform's table and object store.
    pub(crate) platform: SocketAddr,
    /// Timeout of a call to the platform.
    pub(crate) platform_timeout_ms: u64,
    /// Polling interval of the configuration's head row.
    pub(crate) head_poll_ms: u64,
    /// Limit of reads per second from the platform, shared by all entries.
    pub(crate) platform_reads_per_s: u64,
    /// Limit of writes per second to the platform, shared by all entries.
    pub(crate) platform_writes_per_s: u64,
    /// How long permits may be granted while the platform is unreachable.
    pub(crate) outage_limit_ms: u64,
    /// Limits on the requests of clients and operators.
    pub(crate) http_limits: HttpLimits,
    /// Upper limit of the deadline of a job.
    pub(crate) max_deadline_ms: u64,
    /// Operators with their tokens.
    pub(crate) operators: Vec<OperatorSettings>,
    /// Limits on the connections to each server of the process.
    pub(crate) accepted: ConnectionSettings,
    /// Settings of the process log.
    pub(crate) log: LogSettings,
}

impl EntrySettings {
    /// Reads the root table of the settings file.
    pub(crate) fn read(reader: &mut TableReader<'_>) -> Self {
        let peer_listen = reader.socket_addr("peer_listen");
        Self {
            name: reader.name("name"),
            availability_zone: reader.name("availability_zone"),
            client_listen: reader.socket_addr("client_listen"),
            peer_listen,
            peer_addr: reader.socket_addr_or("peer_addr", peer_listen),
            platform: reader.socket_addr("platform"),
            platform_timeout_ms: reader.number("platform_timeout_ms", 10..=60_000, Some(1_500)),
            head_poll_ms: reader.number("head_poll_ms", 50..=2_000, Some(500)),
            platform_reads_per_s: reader.number("platform_reads_per_s", 50..=100_000, Some(1_500)),
            platform_writes_per_s: reader.number("platform_writes_per_s", 20..=10_000, Some(300)),
            outage_limit_ms: reader.number("outage_limit_ms", 10_000..=86_400_000, Some(3_600_000)),
            http_limits: read_http_limits(reader, 4_194_304),
            max_deadline_ms: reader.number("max_deadline_ms", 1_000..=120_000, Some(60_000)),
            operators: read_operators(reader),
            accepted: read_connection_settings(reader),
            log: reader.table("log", LogSettings::read),
        }
    }
}

fn read_operators(reader: &mut TableReader<'_>) -> Vec<OperatorSettings> {
    reader.table("operators", |operators| {
        let names = operators.keys();
        names
            .into_iter()
            .map(|name| {
                operators.table(&name, |operator| OperatorSettings {
                    token_blake3: read_token_digest(operator),
                    sections: read_sections(operator),
                    name: name.clone(),
                })
            })
            .collect()
    })
}

fn read_token_digest(operator: &mut TableReader<'_>) -> String {
    let digest = operator.name("token_blake3");
    let is_hex = digest.len() == 64 && digest.bytes().all(|byte| byte.is_ascii_hexdigit());
    if !digest.is_empty() && !is_hex {
        operator.report_fault("token_blake3", "must be 64 hex digits");
    }
    digest.to_ascii_lowercase()
}

fn read_sections(operator: &mut TableReader<'_>) -> Vec<String> {
    let sections = operator.strings("sections");
    for section in &sections {
        if !crate::core::config::SECTIONS.contains(&section.as_str()) {
            operator.report_fault("sections", format!("no section is named \"{section}\""));
        }
    }
    sections
}
