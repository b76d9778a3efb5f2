//! Tests with several entries that choose among the same workers.

use {super::*, std::collections::BTreeMap};

const ENTRIES: u64 = 8;
const WORKERS: u64 = 50;
const SLOTS: u32 = 12;
/// Share of each entry if all have the same demand.
const EQUAL_SHARE_PERMILLE: u16 = 1_000 / ENTRIES as u16;

/// A worker and its agent, which rejects start orders that don't fit.
#[derive(Debug, Default)]
struct AgentModel {
    running: u32,
    rejected: u32,
    starts_seen: BTreeMap<usize, u32>,
    /// Reported slowness in thousandths; zero if unknown.
    slowness_permille: u16,
}

impl AgentModel {
    fn accept(&mut self, entry: usize) -> bool {
        *self.starts_seen.entry(entry).or_default() += 1;
        let fits = self.running < SLOTS;
        if fits {
            self.running += 1;
        } else {
            self.rejected += 1;
        }
        fits
    }

    fn report(&self, entry: usize) -> AgentFrame {
        let report = CapacityReport {
            free: needs(SLOTS - self.running),
            starts_seen: self.starts_seen.get(&entry).copied().unwrap_or_default(),
            share_permille: EQUAL_SHARE_PERMILLE,
            slowness_permille: self.slowness_permille,
        };
        AgentFrame::Room {
            report,
            stamp_us: 0,
        }
    }
}

/// A site whose entries and agents take turns.
struct Site {
    entries: Vec<TestDispatcher>,
    agents: BTreeMap<u64, AgentModel>,
    orders: Vec<(usize, u64, RunId)>,
}

impl Site {
    fn new() -> Self {
        Self {
            entries: (0..ENTRIES).map(TestDispatcher::with_seed).collect(),
            agents: (1..=WORKERS).map(|w| (w, AgentModel::default())).collect(),
            orders: Vec::new(),
        }
    }

    fn collect_orders(&mut self, entry: usize) {
        let starts = self.entries[entry].starts();
        self.orders
            .extend(starts.into_iter().map(|(worker, run)| (entry, worker, run)));
    }

    /// Delivers all start orders in flight, one of each entry at a time, and responds with a
    /// report.
    fn deliver(&mut self) {
        let orders = std::mem::take(&mut self.orders);
        let mut responses = Vec::new();
        let mut by_entry: Vec<Vec<_>> = vec![Vec::new(); ENTRIES as usize];
        for order in orders.into_iter().rev() {
            by_entry[order.0].push(order);
        }
        while by_entry.iter().any(|orders| !orders.is_empty()) {
            for orders in &mut by_entry {
                if let Some((entry, worker, run)) = orders.pop() {
                    let accepted = self.agents.get_mut(&worker).unwrap().accept(entry);
                    responses.push((entry, worker, run, accepted));
                }
            }
        }
        for (entry, worker, run, accepted) in responses {
            let report = self.agents[&worker].report(entry);
            self.entries[entry].receive_frame(worker, report);
            self.collect_orders(entry);
            if !accepted {
                let outcome = RunOutcome::NotStarted(NotStartedReason::NoRoom);
                self.entries[entry].end_run((worker, run), outcome);
                self.collect_orders(entry);
            }
        }
    }

    fn running(&self) -> u32 {
        self.agents.values().map(|agent| agent.running).sum()
    }

    fn rejected(&self) -> u32 {
        self.agents.values().map(|agent| agent.rejected).sum()
    }
}

/// All entries have full queues and see the same idle workers, as after a site-wide power failure.
/// If each of them used all the reported capacity, most start orders would be rejected.
#[test]
fn full_queues_fill_idle_workers_without_mass_rejection() {
    let mut site = Site::new();
    for entry in 0..ENTRIES as usize {
        for number in 0..40 {
            let id = entry as u64 * 1_000 + number + 1;
            site.entries[entry].submit(job(id, 0, vec![step(4, 500)]));
        }
        for worker in 1..=WORKERS {
            site.entries[entry].connect_with(worker, SLOTS, EQUAL_SHARE_PERMILLE);
            site.collect_orders(entry);
        }
    }
    for _ in 0..6 {
        site.deliver();
    }
    let slots = WORKERS as u32 * SLOTS;
    assert_eq!(site.running(), slots, "all slots are in use");
    assert!(
        site.rejected() < slots / 2,
        "{} start orders were rejected for {slots} slots",
        site.rejected()
    );
}

/// Entries place tasks by the same reports at the same time. They must not all prefer the same
/// worker, which would reject most of them.
#[test]
fn concurrent_entries_choose_different_workers() {
    let mut site = Site::new();
    for agent in site.agents.values_mut() {
        agent.running = SLOTS - 2;
    }
    // One worker has more free slots than the others.
    site.agents.get_mut(&1).unwrap().running = SLOTS - 3;
    for entry in 0..ENTRIES as usize {
        for worker in 1..=WORKERS {
            let free = SLOTS - site.agents[&worker].running;
            site.entries[entry].connect_with(worker, free, EQUAL_SHARE_PERMILLE);
        }
        for number in 0..3 {
            let id = entry as u64 * 1_000 + number + 1;
            site.entries[entry].submit(job(id, 0, vec![step(1, 500)]));
            site.collect_orders(entry);
        }
    }
    site.deliver();
    assert!(
        site.rejected() <= 2,
        "{} of 24 start orders were rejected",
        site.rejected()
    );
}

/// A single busy entry must get the capacity that the other entries don't use.
#[test]
fn a_single_busy_entry_uses_all_capacity() {
    let mut site = Site::new();
    for worker in 1..=WORKERS {
        site.entries[0].connect_with(worker, SLOTS, EQUAL_SHARE_PERMILLE);
    }
    for number in 1..=200 {
        site.entries[0].submit(job(number, 0, vec![step(4, 500)]));
        site.collect_orders(0);
    }
    for _ in 0..20 {
        site.deliver();
    }
    assert_eq!(site.running(), WORKERS as u32 * SLOTS);
    assert_eq!(site.rejected(), 0);
}

/// Entries place tasks by the same reports where a few workers are faster, or slower but good enough.
/// They must not all prefer the same one.
#[test]
fn concurrent_entries_choose_different_workers_of_unequal_speed() {
    let mut site = Site::new();
    for (worker, agent) in &mut site.agents {
        agent.running = SLOTS - 2;
        agent.slowness_permille = match worker % 5 {
            0 => 1_800,
            1 => 800,
            _ => 1_000,
        };
    }
    for entry in 0..ENTRIES as usize {
        for worker in 1..=WORKERS {
            let free = SLOTS - site.agents[&worker].running;
            site.entries[entry].connect_with(worker, free, EQUAL_SHARE_PERMILLE);
            let report = site.agents[&worker].report(entry);
            site.entries[entry].receive_frame(worker, report);
        }
        for (number, estimate_ms) in [(1, 60), (2, 200), (3, 900)] {
            let id = entry as u64 * 1_000 + number;
            site.entries[entry].submit(job(id, 0, vec![step(1, estimate_ms)]));
            site.collect_orders(entry);
        }
    }
    site.deliver();
    assert!(
        site.rejected() <= 2,
        "{} of 24 start orders were rejected",
        site.rejected()
    );
}
