//! Tests of the dial schedule, on a model of hosts that may be unavailable.

use {
    super::{
        DialOutcome, RedialSchedule,
        dial_budget::{MAX_DIAL_BURST, MAX_DIALS_PER_S},
    },
    crate::core::time::Instant,
    proptest::prelude::{any, prop_assert, proptest},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
    },
};

/// Entries that an agent selects.
const SELECTED: u16 = 12;
/// Time until a dial without a response fails, and until a refusal arrives, in milliseconds.
const DIAL_TIMEOUT_MS: u64 = 100;
const ROUND_TRIP_MS: u64 = 2;
/// Maximum time between a host's return and the next dial, in milliseconds: the rest of a dial without
/// a response, and the delay after it.
const MAX_RETURN_DELAY_MS: u64 = 185;
/// The same when the host refused connections meanwhile.
const MAX_REFUSED_DELAY_MS: u64 = 145;

fn addr(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1 + port))
}

fn at(ms: u64) -> Instant {
    Instant::from_millis(100_000 + ms)
}

/// What a dial of a host leads to during a span of time, in milliseconds; connects otherwise.
#[derive(Debug, Clone, Copy)]
struct Fault {
    entry: SocketAddr,
    from_ms: u64,
    until_ms: u64,
    outcome: DialOutcome,
}

/// An agent with its schedule; time advances in steps of a millisecond.
#[derive(Debug)]
struct Model {
    schedule: RedialSchedule,
    faults: Vec<Fault>,
    now_ms: u64,
    /// Outcomes of open dials by the time at which they are known.
    results: BTreeMap<(u64, SocketAddr), DialOutcome>,
    connected: BTreeMap<SocketAddr, u64>,
    /// Start times of all dials.
    dials: Vec<(u64, SocketAddr)>,
}

impl Model {
    fn new(seed: u64, entries: u16, faults: Vec<Fault>) -> Self {
        let mut schedule = RedialSchedule::new(at(0), seed);
        (0..entries).for_each(|entry| schedule.maintain(at(0), addr(entry)));
        Self {
            schedule,
            faults,
            now_ms: 0,
            results: BTreeMap::new(),
            connected: BTreeMap::new(),
            dials: Vec::new(),
        }
    }

    fn outcome(&self, entry: SocketAddr) -> DialOutcome {
        let is_current = |fault: &&Fault| {
            fault.entry == entry && (fault.from_ms..fault.until_ms).contains(&self.now_ms)
        };
        let fault = self.faults.iter().find(is_current);
        fault.map_or(DialOutcome::Connected, |fault| fault.outcome)
    }

    fn run_until(&mut self, end_ms: u64) {
        while self.now_ms < end_ms {
            let now = at(self.now_ms);
            while let Some((&(due_ms, entry), &outcome)) = self.results.first_key_value()
                && due_ms <= self.now_ms
            {
                self.results.remove(&(due_ms, entry));
                self.schedule.record_dial(now, entry, outcome);
                if outcome == DialOutcome::Connected {
                    self.connected.insert(entry, self.now_ms);
                }
            }
            let due = self.schedule.take_due(now);
            assert!(
                self.schedule.next_due_at().is_none_or(|next| next > now),
                "a caller that waits for the next dial would not wait"
            );
            for entry in due {
                assert!(
                    !self.connected.contains_key(&entry)
                        && self.results.keys().all(|(_, open)| *open != entry),
                    "a second dial of {entry}"
                );
                self.dials.push((self.now_ms, entry));
                let outcome = self.outcome(entry);
                let took_ms = match outcome {
                    DialOutcome::NoResponse => DIAL_TIMEOUT_MS,
                    DialOutcome::Connected | DialOutcome::Refused => ROUND_TRIP_MS,
                };
                self.results.insert((self.now_ms + took_ms, entry), outcome);
            }
            self.now_ms += 1;
        }
    }

    fn lose_session(&mut self, entry: SocketAddr) {
        self.connected.remove(&entry);
        self.schedule.record_session_lost(at(self.now_ms), entry);
    }

    fn dials_between(&self, entry: SocketAddr, from_ms: u64, until_ms: u64) -> usize {
        let span = from_ms..until_ms;
        let dials = self.dials.iter();
        dials
            .filter(|(at_ms, dialled)| *dialled == entry && span.contains(at_ms))
            .count()
    }

    /// Maximum number of dials within any second.
    fn max_dials_per_s(&self) -> usize {
        let times: Vec<u64> = self.dials.iter().map(|(at_ms, _)| *at_ms).collect();
        let counts = times.iter().enumerate().map(|(first, from_ms)| {
            times[first..].partition_point(|at_ms| *at_ms < from_ms + 1_000)
        });
        counts.max().unwrap_or(0)
    }
}

fn fault(entry: u16, until_ms: u64, outcome: DialOutcome) -> Fault {
    Fault {
        entry: addr(entry),
        from_ms: 0,
        until_ms,
        outcome,
    }
}

/// Defines a test that all hosts return after an outage and have their sessions soon after.
macro_rules! outage {
    ($name:ident, $outcome:ident for $outage_ms:literal ms, sessions within $limit_ms:expr) => {
        /// The sessions must not wait for a long backoff after the outage.
        #[test]
        fn $name() {
            for seed in 0..50 {
                let outage = |entry| fault(entry, $outage_ms, DialOutcome::$outcome);
                let mut model = Model::new(seed, SELECTED, (0..SELECTED).map(outage).collect());
                model.run_until($outage_ms + $limit_ms + ROUND_TRIP_MS);
                assert_eq!(model.connected.len(), usize::from(SELECTED), "seed {seed}");
            }
        }
    };
}

outage!(one_second_without_responses, NoResponse for 1_000 ms, sessions within MAX_RETURN_DELAY_MS);
outage!(three_seconds_without_responses, NoResponse for 3_000 ms, sessions within MAX_RETURN_DELAY_MS);
outage!(one_second_of_refusals, Refused for 1_000 ms, sessions within MAX_REFUSED_DELAY_MS);
outage!(three_seconds_of_refusals, Refused for 3_000 ms, sessions within MAX_REFUSED_DELAY_MS);
// All addresses count as lost; the first one that connects shows that the agent was isolated.
outage!(a_minute_without_responses, NoResponse for 60_000 ms, sessions within 1_000);

/// A refusal costs little and is followed by the process's start; it is not delayed like a timeout.
#[test]
fn a_refusing_host_is_dialled_more_often_than_an_unresponsive_one() {
    let faults = vec![
        fault(0, 5_000, DialOutcome::Refused),
        fault(1, 5_000, DialOutcome::NoResponse),
    ];
    let mut model = Model::new(1, SELECTED, faults);
    model.run_until(5_000);
    let refused = model.dials_between(addr(0), 0, 5_000);
    let unanswered = model.dials_between(addr(1), 0, 5_000);
    assert!(refused > unanswered, "{refused} and {unanswered}");
}

/// Dials to a host that is gone for good must not accumulate over its agents.
#[test]
fn dials_of_a_lost_entry_do_not_grow() {
    let mut model = Model::new(
        1,
        SELECTED,
        vec![fault(0, u64::MAX, DialOutcome::NoResponse)],
    );
    model.run_until(605_000);
    let windows: Vec<usize> = (0..60)
        .map(|window| {
            model.dials_between(addr(0), 6_000 + window * 10_000, 16_000 + window * 10_000)
        })
        .collect();
    assert!(
        windows.iter().all(|dials| (3..=7).contains(dials)),
        "{windows:?}"
    );
}

/// A rolling restart must not wait for a dial interval.
#[test]
fn a_lost_session_is_dialled_at_once() {
    let mut model = Model::new(1, SELECTED, Vec::new());
    model.run_until(1_000);
    model.lose_session(addr(3));
    model.run_until(1_010);
    assert!(model.connected.contains_key(&addr(3)));
}

/// A process that closes each session would otherwise be dialled in a tight loop.
#[test]
fn sessions_that_are_closed_at_once_are_dialled_at_the_rate_of_refusals() {
    let mut model = Model::new(1, 1, Vec::new());
    while model.now_ms < 10_000 {
        model.run_until(model.now_ms + 1);
        if model.connected.contains_key(&addr(0)) {
            model.lose_session(addr(0));
        }
    }
    let dials = model.dials.len();
    assert!((70..=170).contains(&dials), "{dials} dials in 10 s");
}

/// Agents that lose an entry at the same time must not dial it in step.
#[test]
fn agents_dial_at_different_times() {
    let dial_times = |seed| {
        let mut model = Model::new(seed, 1, vec![fault(0, 1_000, DialOutcome::Refused)]);
        model.run_until(1_200);
        model.connected[&addr(0)]
    };
    let times: BTreeSet<u64> = (0..100).map(dial_times).collect();
    assert!(times.len() > 50, "{times:?}");
}

/// An entry that is no longer selected must not be dialled again.
#[test]
fn a_released_address_is_not_dialled() {
    let mut model = Model::new(1, 2, vec![fault(0, u64::MAX, DialOutcome::Refused)]);
    model.run_until(1_000);
    model.schedule.release(addr(0));
    model.schedule.release(addr(1));
    model.lose_session(addr(1));
    model.run_until(1_200);
    let before = model.dials.len();
    model.run_until(3_000);
    assert_eq!(model.dials.len(), before);
    model.schedule.maintain(at(3_000), addr(1));
    model.run_until(3_010);
    assert!(model.connected.contains_key(&addr(1)));
}

/// Replacements of many unreachable entries must not delay the return of the preferred ones.
#[test]
fn preferred_entries_are_dialled_before_their_replacements() {
    let outage = |entry| fault(entry, 4_000, DialOutcome::NoResponse);
    for seed in 0..20 {
        let mut model = Model::new(seed, SELECTED, (0..60).map(outage).collect());
        for second in 1..4 {
            model.run_until(second * 1_000);
            let added = SELECTED * second as u16..SELECTED * (second as u16 + 1);
            added.for_each(|entry| model.schedule.maintain(at(second * 1_000), addr(entry)));
        }
        model.run_until(4_000 + MAX_RETURN_DELAY_MS + ROUND_TRIP_MS);
        let connected = |entry: &u16| model.connected.contains_key(&addr(*entry));
        assert!((0..SELECTED).all(|entry| connected(&entry)), "seed {seed}");
    }
}

proptest! {
    #![proptest_config(proptest::test_runner::Config {
        cases: 64,
        rng_seed: proptest::test_runner::RngSeed::Fixed(19),
        failure_persistence: None,
        ..proptest::test_runner::Config::default()
    })]

    /// Random outages of entries, with lost sessions.
    #[test]
    fn dials_are_bounded_and_follow_a_return_soon(
        seed in any::<u64>(),
        outages in proptest::collection::vec((0..20u16, 0..6_000u64, 1..4_500u64, any::<bool>()), 0..30),
        losses in proptest::collection::vec((0..20u16, 0..6_000u64), 0..20),
    ) {
        let mut faults: Vec<Fault> = Vec::new();
        for (entry, from_ms, for_ms, is_refused) in outages {
            let entry = addr(entry);
            // One outage an entry, so that none is lost for longer than the limit.
            if faults.iter().any(|fault| fault.entry == entry) {
                continue;
            }
            let outcome = if is_refused { DialOutcome::Refused } else { DialOutcome::NoResponse };
            faults.push(Fault { entry, from_ms, until_ms: from_ms + for_ms, outcome });
        }
        let returns: Vec<(u64, SocketAddr)> =
            faults.iter().map(|fault| (fault.until_ms, fault.entry)).collect();
        let mut events: Vec<(u64, SocketAddr)> =
            losses.into_iter().map(|(entry, at_ms)| (at_ms, addr(entry))).collect();
        // An outage disconnects the session.
        events.extend(faults.iter().map(|fault| (fault.from_ms, fault.entry)));
        events.sort_unstable();
        let mut model = Model::new(seed, 20, faults);
        for (at_ms, entry) in events {
            model.run_until(at_ms);
            if model.connected.contains_key(&entry) {
                model.lose_session(entry);
            }
        }
        model.run_until(12_000);
        prop_assert!(model.max_dials_per_s() as u64 <= MAX_DIALS_PER_S + MAX_DIAL_BURST);
        // 20 unresponsive entries exceed the limit; each of them is still dialled in turn.
        for (returned_ms, entry) in returns {
            let next = model.dials.iter().find(|(at_ms, dialled)| *dialled == entry && *at_ms >= returned_ms);
            let was_connected = model.connected.get(&entry).is_some_and(|at_ms| *at_ms <= returned_ms);
            let waited_ms = next.map(|(at_ms, _)| at_ms - returned_ms);
            prop_assert!(was_connected || waited_ms.is_some_and(|waited_ms| waited_ms <= MAX_RETURN_DELAY_MS + 60),
                "{entry} waited for {waited_ms:?} ms");
        }
        prop_assert!(model.connected.len() == 20);
    }
}
