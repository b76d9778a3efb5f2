//! Runs many agents in one process, each on its own IP address, for scaling measurements.

use {
    crate::{
        adapters::http::{BackendBody, HttpClient},
        agent::run_agent,
        cli::{AgentsArgs, RunError},
        conf::{AgentSettings, ConfError, TableReader},
    },
    http::Method,
    std::{
        net::{Ipv4Addr, SocketAddr},
        time::Duration,
    },
    tokio::{
        task::JoinSet,
        time::{MissedTickBehavior, interval, sleep},
    },
};

/// Peer port of every agent.
const PEER_PORT: u16 = 7_400;
/// HTTP port of every agent.
const HTTP_PORT: u16 = 7_401;
/// Interval between announcements of the backend server to one agent.
const ANNOUNCE_INTERVAL_MS: u64 = 1_000;
/// Period over which agent starts are spread, so that periodic work doesn't run in lockstep.
const START_SPREAD_US: u64 = 1_000_000;

/// Runs the agents until SIGTERM.
pub(crate) async fn run_agents(args: AgentsArgs) -> Result<(), RunError> {
    let mut agents = JoinSet::new();
    let start_interval_us = START_SPREAD_US / u64::from(args.count.max(1));
    for index in 0..args.count {
        let settings = agent_settings(&args, index)?;
        if let Some(backend) = args.backend {
            tokio::spawn(announce_backend(
                settings.http_listen,
                BackendBody {
                    addr: backend,
                    services: vec![args.service.clone()],
                    slots: args.slots,
                    leaving: false,
                },
            ));
        }
        agents.spawn(run_agent(settings));
        sleep(Duration::from_micros(start_interval_us)).await;
    }
    while let Some(ended) = agents.join_next().await {
        ended.map_err(|error| RunError::Failed(error.to_string()))??;
    }
    Ok(())
}

/// Builds the settings through the settings file parser, so that its defaults apply.
fn agent_settings(args: &AgentsArgs, index: u32) -> Result<AgentSettings, RunError> {
    let ip = Ipv4Addr::from_bits(args.first_ip.to_bits() + index);
    let number = args.first_number + index;
    let zone = &args.zones[index as usize % args.zones.len()];
    let entries: Vec<String> = args.entries.iter().map(|e| format!("\"{e}\"")).collect();
    let text = format!(
        "worker = \"w{number:04}\"\n\
         availability_zone = \"{zone}\"\n\
         peer_listen = \"{ip}:{PEER_PORT}\"\n\
         http_listen = \"{ip}:{HTTP_PORT}\"\n\
         entries = [{}]\n\
         slots = {}\n\
         {}\n",
        entries.join(", "),
        args.slots,
        args.settings.join("\n"),
    );
    TableReader::read_text(&text, AgentSettings::read)
        .map_err(|faults| ConfError::Faults(format!("agent {number}"), faults).into())
}

/// Announces the shared backend server to one agent periodically.
async fn announce_backend(agent: SocketAddr, body: BackendBody) {
    let Ok(body) = serde_json::to_string(&body) else {
        return;
    };
    let client = HttpClient::new();
    let headers = [("content-type", "application/json")];
    let mut ticks = interval(Duration::from_millis(ANNOUNCE_INTERVAL_MS));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        // The next tick retries if the agent is not up yet.
        let _ = client
            .send(Method::POST, agent, "/v1/backend", &headers, body.clone())
            .await;
    }
}
