//! Parses the operators' configuration document.

use {
    super::{
        PlatformError,
        json::{RowList, duration_ms, read_json},
    },
    crate::core::{
        document::Document,
        routes::{HttpLimits, Route, RouteTable, ServiceConfig, SiteConfig},
    },
    serde::Deserialize,
};

#[derive(Debug, Deserialize)]
struct ConfigBody {
    version: u64,
    #[serde(default)]
    routes: RowList,
    #[serde(default)]
    services: RowList,
    #[serde(default)]
    limits: LimitsBody,
}

#[derive(Debug, Deserialize)]
struct RouteBody {
    name: String,
    host: String,
    path_prefix: String,
    service: String,
    #[serde(default = "default_timeout_ms", deserialize_with = "duration_ms")]
    timeout_ms: u64,
    /// Despite its name not the target duration, but the time that the objective allows beyond the stretched work.
    #[serde(default, deserialize_with = "duration_ms")]
    target_duration_ms: u64,
    #[serde(default)]
    priority: u32,
    #[serde(default = "default_attempts")]
    max_attempts: u32,
    #[serde(default = "default_stretch")]
    stretch: f64,
    #[serde(default)]
    advice: Option<serde::de::IgnoredAny>,
}

#[derive(Debug, Deserialize)]
struct ServiceBody {
    name: String,
    #[serde(default)]
    rejects_overload: bool,
}

#[derive(Debug, Default, Deserialize)]
struct LimitsBody {
    max_header_bytes: Option<usize>,
    max_body_bytes: Option<usize>,
    header_timeout_ms: Option<u64>,
    idle_timeout_ms: Option<u64>,
}

/// Timeout of a route that specifies none; longer than any client waits.
const fn default_timeout_ms() -> u64 {
    60_000
}

const fn default_attempts() -> u32 {
    1
}

const fn default_stretch() -> f64 {
    1.0
}

/// Parses the configuration in a document; routes and services that are malformed are left aside.
pub(crate) fn parse_config(document: &Document) -> Result<SiteConfig, PlatformError> {
    let body: ConfigBody = read_json(&document.text)?;
    Ok(SiteConfig {
        version: body.version,
        routes: RouteTable::new(body.routes.parse_objects("routes").into_iter().map(route)),
        services: body
            .services
            .parse_objects("services")
            .into_iter()
            .map(|service: ServiceBody| (service.name.clone(), self::service(service)))
            .collect(),
        limits: limits(&body.limits),
    })
}

fn route(body: RouteBody) -> Route {
    Route {
        name: body.name,
        host: body.host,
        path_prefix: body.path_prefix,
        service: body.service,
        timeout_ms: body.timeout_ms,
        max_attempts: body.max_attempts,
        priority: body.priority,
        stretch: body.stretch,
        target_ms: body.target_duration_ms,
        needs_advice: body.advice.is_some(),
        // Set by the route table.
        competes: false,
    }
}

fn service(body: ServiceBody) -> ServiceConfig {
    ServiceConfig {
        name: body.name,
        rejects_overload: body.rejects_overload,
    }
}

fn limits(body: &LimitsBody) -> HttpLimits {
    let defaults = HttpLimits::default();
    HttpLimits {
        max_header_bytes: body.max_header_bytes.unwrap_or(defaults.max_header_bytes),
        max_body_bytes: body.max_body_bytes.unwrap_or(defaults.max_body_bytes),
        header_timeout_ms: body.header_timeout_ms.unwrap_or(defaults.header_timeout_ms),
        idle_timeout_ms: body.idle_timeout_ms.unwrap_or(defaults.idle_timeout_ms),
    }
}
