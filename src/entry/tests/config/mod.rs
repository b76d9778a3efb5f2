//! Tests of the configuration store against a fake platform with faults, in virtual time.

mod concurrent_changes;
mod fake_platform;
mod forwarded;
mod single_change;

use {
    crate::{
        conf::OperatorSettings,
        core::{
            config::{Document, SECTIONS},
            message::PeerEntry,
            ticket::AgentId,
        },
        entry::{
            Change, ConfigStore, Edit, EntryState, based_on_all,
            tests::fakes::{NoMetrics, PausedTimer},
        },
        ports::TimerService,
    },
    fake_platform::FakePlatform,
    std::sync::Arc,
};

/// Fault injected into a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallFault {
    /// The call succeeds.
    None,
    /// The platform refuses the call.
    Unavailable,
    /// The write takes effect, but the reply is lost.
    ReplyLost,
    /// The call is lost and has no effect.
    CallLost,
    /// The caller times out; the write takes effect later.
    Delayed,
}

/// Faults injected at random.
const FAULTS: [CallFault; 4] = [
    CallFault::Unavailable,
    CallFault::ReplyLost,
    CallFault::CallLost,
    CallFault::Delayed,
];

fn operator(name: &str, sections: &[&str]) -> OperatorSettings {
    OperatorSettings {
        name: name.to_owned(),
        token_blake3: blake3::hash(name.as_bytes()).to_hex().to_string(),
        sections: sections
            .iter()
            .map(|section| (*section).to_owned())
            .collect(),
    }
}

const OUTAGE_LIMIT_MS: u64 = 3_600_000;

fn config_store(platform: &Arc<FakePlatform>) -> Arc<ConfigStore> {
    let timer: Arc<dyn TimerService> = Arc::new(PausedTimer(tokio::time::Instant::now()));
    let local_entry = PeerEntry {
        entry: AgentId(1),
        name: "entry".to_owned(),
        peer_addr: ([127, 0, 0, 1], 1).into(),
    };
    let state = Arc::new(EntryState::new(
        local_entry,
        Arc::clone(&timer),
        OUTAGE_LIMIT_MS,
        1,
    ));
    platform.register_entry(&state);
    Arc::new(ConfigStore {
        state,
        table: Arc::clone(platform) as _,
        objects: Arc::clone(platform) as _,
        timer,
        metrics: Arc::new(NoMetrics),
        operators: vec![operator("ops", &SECTIONS)],
        change_lock: tokio::sync::Mutex::default(),
    })
}

/// Returns a document with one value per section, in the order of [`SECTIONS`].
fn document(values: [u32; 4]) -> String {
    let [memory, deadline, region, team] = values;
    format!(
        "[zones.z]\nregion = \"{region}\"\n[capacity.workers.w]\navailability_zone = \"z\"\n\
         rack = \"r\"\nslots = 8\nmemory_mb = {}\n[services.s]\navailability_zones = [\"z\"]\n\
         default_deadline_ms = {}\n[quotas.t{team}]\nslots = 1\n",
        memory + 1_000,
        deadline + 1_000,
    )
}

fn values(document: &Document) -> [u32; 4] {
    let team = document.quotas.keys().next().expect("a team");
    [
        document.workers["w"].memory_mb - 1_000,
        u32::try_from(document.services["s"].default_deadline_ms).expect("small") - 1_000,
        document.zones["z"].region.parse().expect("a number"),
        team[1..].parse().expect("a number"),
    ]
}

fn change(values: [u32; 4], based_on: u64) -> Change {
    Change {
        edit: Edit::Document {
            text: document(values),
            based_on: based_on_all(based_on),
        },
        close_last_zone: false,
    }
}

/// Runs a test on a paused clock, which advances whenever all tasks sleep.
fn in_virtual_time<T>(test: impl Future<Output = T>) -> T {
    tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("runtime")
        .block_on(test)
}
