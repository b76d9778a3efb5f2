//! Fakes shared by the entry's tests.

#![allow(
    clippy::expect_used,
    reason = "a test that cannot be set up must fail loudly"
)]

use {
    crate::{
        core::{
            job::{JobAnswer, JobSpec, TaskOutcome, TaskSpec},
            message::{Announcement, PeerEntry},
            ticket::{AgentId, GrantSecret, Ticket, TicketGrant},
            time::Instant,
            verdict::Verdict,
        },
        entry::EntryState,
        ports::{Counter, Gauge, Histogram, Metrics, TimerService},
    },
    std::{net::SocketAddr, sync::Arc},
    tokio::sync::mpsc,
};

/// Reads Tokio's clock, which tests can pause.
#[derive(Debug)]
pub(super) struct PausedTimer(pub(super) tokio::time::Instant);

impl TimerService for PausedTimer {
    fn now(&self) -> Instant {
        let micros = self.0.elapsed().as_micros();
        Instant::from_micros(u64::try_from(micros).expect("a short test"))
    }

    fn subscribe(&self, _period_ms: u64) -> mpsc::Receiver<Instant> {
        mpsc::channel(1).1
    }
}

/// Discards all metrics.
#[derive(Debug)]
pub(super) struct NoMetrics;

impl Metrics for NoMetrics {
    fn add(&self, _counter: Counter, _reason: &'static str, _amount: u64) {}

    fn observe(&self, _: Histogram, _: &'static str, _: u64) {}

    fn count_for_queue(&self, _: Counter, _: &str, _: &'static str) {}

    fn set_for_queue(&self, _: Gauge, _: &str, _: u64) {}

    fn set(&self, _gauge: Gauge, _value: u64) {}

    fn render(&self) -> String {
        String::new()
    }
}

/// Address of a home in these tests; its port is the home's ID.
pub(super) fn addr_of(home: AgentId) -> SocketAddr {
    let port = u16::try_from(home.0).expect("a small ID");
    SocketAddr::from(([127, 0, 0, 1], port))
}

pub(super) fn grant_of(home: AgentId) -> TicketGrant {
    GrantSecret::new([5; 32]).grant(home, 0, 8)
}

/// The state of an entry to which these homes have announced themselves, and its timer.
pub(super) fn state_with_homes(homes: &[AgentId]) -> (Arc<EntryState>, Arc<PausedTimer>) {
    let local_entry = PeerEntry {
        entry: AgentId(1),
        name: "entry".to_owned(),
        peer_addr: addr_of(AgentId(1)),
    };
    let timer = Arc::new(PausedTimer(tokio::time::Instant::now()));
    let state = Arc::new(EntryState::new(local_entry, timer.clone(), 3_600_000, 1));
    for home in homes {
        state.handle_announcement(Announcement {
            number: 1,
            roster_digest: 0,
            agent: *home,
            worker: format!("w{:02}", home.0),
            availability_zone: "grindavik".to_owned(),
            peer_addr: addr_of(*home),
            services: Vec::new(),
            slots: 1,
            free_slots: 1,
            leaving: false,
            config_version: 0,
            adopted: Vec::new(),
            grant: Some(grant_of(*home)),
        });
    }
    (state, timer)
}

pub(super) fn spec(tasks: usize) -> JobSpec {
    let task = TaskSpec {
        input: "share".to_owned(),
        declared_run_ms: 0,
        memory_mb: 0,
        accelerators: 0,
    };
    JobSpec {
        service: "crew-share".to_owned(),
        team: String::new(),
        deadline_ms: 10_000,
        repeatable: false,
        tasks: vec![task; tasks],
    }
}

pub(super) fn answer(ticket: Ticket, tasks: usize) -> JobAnswer {
    let outcomes = (0..tasks)
        .map(|index| TaskOutcome::Done {
            output: format!("share {index}"),
        })
        .collect();
    JobAnswer::new(ticket.id, Verdict::Done, outcomes)
}
