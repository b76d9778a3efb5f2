//! Support of the process tests: deployments on loopback, an HTTP client and a TCP proxy.

#![allow(
    dead_code,
    unused_imports,
    reason = "each helper is used by some of the tests"
)]

mod crowd;
mod deployment;
mod http;
mod load;
mod port;
mod process;
mod proxy;
mod site;
mod site_load;

pub use {
    crowd::{Crowd, DescriptorSampler, Shape, send_slowly, wait_until_read},
    deployment::{Deployment, Layout, SERVICE, TOKEN, WorkerHandle, job_body},
    http::{Reply, get, request, try_request},
    load::{Load, try_evacuate_zone, unix_ms},
    port::free_addr,
    process::Process,
    proxy::{Proxy, Rejection},
    site::{HOST, Overlap, Site, SiteRun, SiteWorker, boot_us, site_config, site_job, submit_to},
    site_load::{LoadedJob, SiteLoad},
};

use std::time::{Duration, Instant};

/// Polls a condition until it holds; panics after `timeout`.
pub async fn eventually<F>(what: &str, timeout: Duration, mut condition: impl FnMut() -> F)
where
    F: Future<Output = bool>,
{
    let started_at = Instant::now();
    while !condition().await {
        assert!(
            started_at.elapsed() < timeout,
            "not within {timeout:?}: {what}"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
