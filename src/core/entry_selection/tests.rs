//! Tests of the selection of entries.

use {
    super::{EntrySelection, SessionGoal, entry_selection::SELECTED_ENTRIES},
    crate::core::time::Instant,
    std::{collections::BTreeMap, net::SocketAddr},
};

const ENTRIES: u16 = 35;
const AGENTS: usize = 160;

fn addrs(entries: u16) -> Vec<SocketAddr> {
    let addr = |port| SocketAddr::from(([127, 0, 0, 1], port));
    (1..=entries).map(addr).collect()
}

fn selection(agent: usize, entries: &[SocketAddr]) -> EntrySelection {
    let mut selection = EntrySelection::new(format!("side-north-{agent}"));
    selection.set_listed(entries);
    selection
}

fn with_goal(goals: &[(SocketAddr, SessionGoal)], wanted: SessionGoal) -> Vec<SocketAddr> {
    let goals = goals.iter().filter(|(_, goal)| *goal == wanted);
    goals.map(|(entry, _)| *entry).collect()
}

fn maintained(selection: &mut EntrySelection, now: Instant) -> Vec<SocketAddr> {
    with_goal(&selection.update(now), SessionGoal::Maintain)
}

fn at(ms: u64) -> Instant {
    Instant::from_millis(100_000 + ms)
}

/// The sessions of an agent must not grow with the number of entries, and each entry needs a
/// similar number of agents.
#[test]
fn agents_spread_a_limited_number_of_sessions_evenly() {
    for entries in [ENTRIES, 280] {
        let entries = addrs(entries);
        let mut agents_of: BTreeMap<SocketAddr, usize> = BTreeMap::new();
        let agents = AGENTS * entries.len() / usize::from(ENTRIES);
        for agent in 0..agents {
            let selected = maintained(&mut selection(agent, &entries), at(0));
            assert_eq!(selected.len(), SELECTED_ENTRIES);
            for entry in selected {
                *agents_of.entry(entry).or_default() += 1;
            }
        }
        let mean = agents * SELECTED_ENTRIES / entries.len();
        for entry in entries {
            let count = agents_of[&entry];
            assert!(
                (mean / 2..mean * 2).contains(&count),
                "{entry} has {count} agents, {mean} on average"
            );
        }
    }
}

/// On a small site each entry must reach each worker.
#[test]
fn all_entries_of_a_small_site_are_selected() {
    let entries = addrs(SELECTED_ENTRIES as u16);
    assert_eq!(maintained(&mut selection(1, &entries), at(0)), entries);
}

/// Entries that are gone must not use up an agent's sessions.
#[test]
fn unreachable_entries_are_replaced() {
    let entries = addrs(ENTRIES);
    let mut selection = selection(1, &entries);
    let first = maintained(&mut selection, at(0));
    for entry in &first {
        selection.record_failure(at(0), *entry);
    }
    assert_eq!(maintained(&mut selection, at(900)), first);
    let replaced = maintained(&mut selection, at(1_000));
    assert_eq!(replaced.len(), 2 * SELECTED_ENTRIES);
    assert!(first.iter().all(|entry| replaced.contains(entry)));
}

/// After an outage of all hosts, each entry would get the sessions of several times its agents.
#[test]
fn an_agent_without_any_connection_selects_few_replacements() {
    let entries = addrs(10 * SELECTED_ENTRIES as u16);
    let mut selection = selection(1, &entries);
    let mut selected = 0;
    for after_ms in (0..9_900).step_by(100) {
        for entry in maintained(&mut selection, at(after_ms)) {
            selection.record_failure(at(after_ms), entry);
        }
        selected = maintained(&mut selection, at(after_ms)).len();
        assert!(selected <= 2 * SELECTED_ENTRIES, "{after_ms} ms");
    }
    assert_eq!(selected, 2 * SELECTED_ENTRIES);
    // Their hosts may be gone for good.
    assert!(maintained(&mut selection, at(10_000)).len() > selected);
}

/// An agent that reaches some entries must replace all others.
#[test]
fn an_agent_with_a_connection_replaces_all_unreachable_entries() {
    let entries = addrs(10 * SELECTED_ENTRIES as u16);
    let mut selection = selection(1, &entries);
    let first = maintained(&mut selection, at(0));
    for after_ms in (0..8_000).step_by(100) {
        for entry in maintained(&mut selection, at(after_ms)) {
            if entry == first[0] {
                selection.record_connected(entry);
            } else {
                selection.record_failure(at(after_ms), entry);
            }
        }
    }
    assert!(maintained(&mut selection, at(8_000)).len() > 6 * SELECTED_ENTRIES);
}

/// After an outage the number of sessions must return to the limit, but not during the outage of
/// another entry in a rolling restart.
#[test]
fn replacements_are_retired_some_time_after_the_entries_return() {
    let entries = addrs(ENTRIES);
    let mut selection = selection(1, &entries);
    let first = maintained(&mut selection, at(0));
    selection.record_failure(at(0), first[0]);
    let replaced = maintained(&mut selection, at(1_000));
    let added: Vec<SocketAddr> = replaced
        .into_iter()
        .filter(|entry| !first.contains(entry))
        .collect();
    assert_eq!(added.len(), 1);
    selection.record_connected(first[0]);
    let goals = selection.update(at(10_900));
    assert_eq!(with_goal(&goals, SessionGoal::Maintain), first);
    assert_eq!(with_goal(&goals, SessionGoal::Keep), added);
    let goals = selection.update(at(11_000));
    assert_eq!(with_goal(&goals, SessionGoal::Retire), added);
}

/// An entry that is shutting down is no longer listed, but still runs the tasks of its jobs.
#[test]
fn a_delisted_entry_keeps_its_session() {
    let entries = addrs(ENTRIES);
    let mut selection = selection(1, &entries);
    let delisted = maintained(&mut selection, at(0))[0];
    let others: Vec<SocketAddr> = entries
        .iter()
        .copied()
        .filter(|entry| *entry != delisted)
        .collect();
    selection.set_listed(&others);
    for after_ms in [100, 60_000] {
        let goals = selection.update(at(after_ms));
        assert_eq!(with_goal(&goals, SessionGoal::Keep), [delisted]);
        assert_eq!(
            with_goal(&goals, SessionGoal::Maintain).len(),
            SELECTED_ENTRIES
        );
    }
}

const MINUTE_MS: u64 = 60_000;

/// Rows of hosts that were replaced must not accumulate on the list.
#[test]
fn a_stale_entry_is_reported_once() {
    let mut selection = selection(1, &addrs(ENTRIES));
    let stale = maintained(&mut selection, at(0))[0];
    selection.record_failure(at(0), stale);
    let mut reports = Vec::new();
    for minute in 0..=25 {
        let now = at(minute * MINUTE_MS);
        selection.update(now);
        reports.extend(
            selection
                .take_stale(now)
                .into_iter()
                .map(|entry| (minute, entry)),
        );
    }
    assert_eq!(reports.len(), 1, "{reports:?}");
    let (minute, entry) = reports[0];
    assert_eq!(entry, stale);
    assert!((10..=20).contains(&minute), "{minute}");
}

/// Agents that conclude at the same time would all write to the store.
#[test]
fn agents_report_a_stale_entry_at_different_times() {
    let entries = addrs(ENTRIES);
    let [stale, ..] = entries[..] else {
        panic!("no entries");
    };
    let mut first_reports: BTreeMap<u64, usize> = BTreeMap::new();
    for agent in 0..AGENTS {
        let mut selection = selection(agent, &entries);
        selection.record_failure(at(0), stale);
        let reported = (0..=25).find(|minute| {
            let now = at(minute * MINUTE_MS);
            selection.update(now);
            !selection.take_stale(now).is_empty()
        });
        if let Some(minute) = reported {
            *first_reports.entry(minute).or_default() += 1;
        }
    }
    let agents: usize = first_reports.values().sum();
    assert!(
        agents > 20,
        "only the agents that select the entry dial it: {agents}"
    );
    assert!(
        first_reports.values().all(|count| *count < agents / 3),
        "{first_reports:?}"
    );
}

/// A host that is cut off must not remove all entries from the list.
#[test]
fn a_partitioned_agent_reports_no_entry_as_stale() {
    let entries = addrs(ENTRIES);
    let mut selection = selection(1, &entries);
    for minute in 0..=25 {
        let now = at(minute * MINUTE_MS);
        for entry in maintained(&mut selection, now) {
            selection.record_failure(now, entry);
        }
        assert_eq!(selection.take_stale(now), []);
    }
}
