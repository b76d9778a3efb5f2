//! What goes wrong in a run.

use super::seeded_rng::SeededRng;

/// A fault at one place.
#[derive(Debug, Clone, Copy)]
pub(super) enum Fault {
    /// A process is killed and starts again.
    KillEntry {
        entry: usize,
        down_ms: u64,
    },
    KillAgent {
        agent: usize,
        down_ms: u64,
    },
    /// A host is suspended; only its clock goes on.
    SuspendEntry {
        entry: usize,
        for_ms: u64,
    },
    SuspendAgent {
        agent: usize,
        for_ms: u64,
    },
    /// All sessions between two processes stay silent for a while, new ones too.
    StallLinks {
        entry: usize,
        agent: usize,
        for_ms: u64,
    },
    /// Their sessions break.
    ResetLinks {
        entry: usize,
        agent: usize,
    },
    /// A worker crashes and begins anew, under its name or another.
    CrashWorker {
        worker: usize,
        down_ms: u64,
        same_id: bool,
    },
    /// A share of the calls to a worker is not answered; most are carried out seconds later.
    LateCalls {
        worker: usize,
        percent: u64,
        for_ms: u64,
    },
    /// A worker can't be reached and runs on.
    DisconnectWorker {
        worker: usize,
        for_ms: u64,
    },
    /// What runs at a worker stands still.
    HangWorker {
        worker: usize,
        for_ms: u64,
    },
    /// A worker says that it ends, and does a little later.
    DrainWorker {
        worker: usize,
    },
    /// Connections of all clients of an entry break.
    ResetClients {
        entry: usize,
    },
    /// A zone is taken out and comes back.
    EvacuateZone {
        for_ms: u64,
    },
}

impl Fault {
    /// Any fault.
    pub(super) fn random(rng: &mut SeededRng, entries: usize, workers: usize) -> Self {
        let (entry, agent) = (rng.index(entries), rng.index(workers));
        let worker = agent;
        let for_ms = rng.between(100, 5_000);
        let down_ms = rng.between(50, 2_000);
        match rng.between(0, 13) {
            0 => Self::KillEntry { entry, down_ms },
            1 => Self::KillAgent { agent, down_ms },
            2 => Self::SuspendEntry { entry, for_ms },
            3 => Self::SuspendAgent { agent, for_ms },
            4 => Self::StallLinks {
                entry,
                agent,
                for_ms,
            },
            5 => Self::ResetLinks { entry, agent },
            6 => Self::CrashWorker {
                worker,
                down_ms,
                same_id: rng.percent_chance(50),
            },
            7 => Self::LateCalls {
                worker,
                percent: rng.between(5, 60),
                for_ms,
            },
            8 => Self::DisconnectWorker { worker, for_ms },
            9 => Self::HangWorker { worker, for_ms },
            10 => Self::DrainWorker { worker },
            11 => Self::ResetClients { entry },
            _ => Self::EvacuateZone { for_ms },
        }
    }
}
