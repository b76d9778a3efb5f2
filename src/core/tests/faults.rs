//! Faults that a simulation injects.

use super::seeded_rng::SeededRng;

#[derive(Debug, Clone, Copy)]
pub(super) enum Fault {
    /// The process is killed and restarts after `down_ms`.
    KillEntry {
        entry: usize,
        down_ms: u64,
    },
    KillAgent {
        agent: usize,
        down_ms: u64,
    },
    /// The host is suspended; its clock keeps running.
    SuspendEntry {
        entry: usize,
        for_ms: u64,
    },
    SuspendAgent {
        agent: usize,
        for_ms: u64,
    },
    /// Sessions between the two processes, new ones too, deliver nothing for `for_ms`.
    StallLinks {
        entry: usize,
        agent: usize,
        for_ms: u64,
    },
    /// Sessions between the two processes disconnect.
    ResetLinks {
        entry: usize,
        agent: usize,
    },
    /// The agent retires its session with the entry, and connects again once it has ended.
    RetireSession {
        entry: usize,
        agent: usize,
    },
    /// The worker crashes and restarts with the same or another id.
    CrashWorker {
        worker: usize,
        down_ms: u64,
        same_id: bool,
    },
    /// A share of the calls to the worker gets no response; most are executed seconds later.
    LateCalls {
        worker: usize,
        percent: u64,
        for_ms: u64,
    },
    /// The worker is unreachable but keeps running.
    DisconnectWorker {
        worker: usize,
        for_ms: u64,
    },
    /// Runs at the worker make no progress.
    HangWorker {
        worker: usize,
        for_ms: u64,
    },
    /// The worker reports that it is draining and stops later.
    DrainWorker {
        worker: usize,
    },
    /// The worker drains for `drain_ms`, announces that it leaves, and ends once that is
    /// acknowledged, or some time later if the acknowledgement is lost.
    RemoveWorker {
        worker: usize,
        drain_ms: u64,
        acknowledgement_lost: bool,
    },
    /// A replacement under another id starts and reports; the earlier worker ends `overlap_ms` later.
    ReplaceWorker {
        worker: usize,
        drains: bool,
        overlap_ms: u64,
    },
    /// The worker crashes and restarts under its own id, with its clock set back.
    ReturnWorker {
        worker: usize,
        down_ms: u64,
        clock_back_ms: u64,
    },
    /// The agent starts twice within one second, so that both processes have the same first token.
    RestartAgentTwice {
        agent: usize,
        gap_ms: u64,
    },
    /// Another writer sends the report to the agent `count` times within one second.
    ForeignReports {
        agent: usize,
        report: ForeignReport,
        count: u64,
    },
    /// Connections of all clients of the entry disconnect.
    ResetClients {
        entry: usize,
    },
    /// A zone is evacuated for `for_ms`.
    EvacuateZone {
        for_ms: u64,
    },
    /// The store turns away these entries and agents, and serves the others.
    TurnAway {
        all_entries: bool,
        agent: usize,
        for_ms: u64,
    },
}

/// A report that another writer sends to an agent; times are relative to the start of the worker, or to
/// the present if `is_later`.
#[derive(Debug, Clone, Copy)]
pub(super) enum ForeignReport {
    /// A heartbeat of another incarnation.
    Heartbeat {
        own_id: bool,
        is_later: bool,
        offset_ms: u64,
    },
    /// Leave of the worker's id, without `born`.
    LeaveWithoutBorn,
    /// Leave of another id.
    LeaveOfOther,
    /// Leave of the worker's id, with the start of an earlier incarnation.
    LeaveOfEarlier { offset_ms: u64 },
}

impl Fault {
    /// Returns a random fault.
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
