//! Tests of the roster and of the choice of entries.

use {
    super::{EntryChoice, Roster, RosterRow, heartbeat_key},
    crate::core::{message::PeerEntry, ticket::AgentId, time::Instant},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
    },
};

const OUTAGE_LIMIT_MS: u64 = 60_000;

fn addr(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn entry(id: u64, port: u16) -> PeerEntry {
    PeerEntry {
        entry: AgentId(id),
        name: format!("entry-{id}"),
        peer_addr: addr(port),
    }
}

/// Scans two entries with the given heartbeat versions; entry 1 is the local one.
fn scan(
    roster: &mut Roster,
    at_ms: u64,
    heartbeat_versions: [u64; 2],
    ports: [u16; 2],
) -> (bool, Vec<u64>) {
    let entries = [entry(1, ports[0]), entry(2, ports[1])];
    let local = entries[0].clone();
    let versions = BTreeMap::from([
        (heartbeat_key(AgentId(1)), heartbeat_versions[0]),
        (heartbeat_key(AgentId(2)), heartbeat_versions[1]),
    ]);
    let rows = entries.map(|entry| RosterRow {
        entry,
        outage_limit_ms: OUTAGE_LIMIT_MS,
    });
    let scan = roster.apply_scan(Instant::from_millis(at_ms), &local, rows.into(), &versions);
    let expired = scan.expired.iter().map(|(entry, _)| entry.0).collect();
    (scan.own_row_exists, expired)
}

/// The row must stay while an isolated entry could still grant permits without the platform.
#[test]
fn the_row_of_a_dead_entry_expires_after_its_outage_limit() {
    let mut roster = Roster::default();
    for second in 0..63 {
        let result = scan(&mut roster, second * 1_000, [second, 1], [1, 2]);
        assert_eq!(result, (true, vec![]), "{second}");
    }
    assert_eq!(scan(&mut roster, 63_000, [63, 1], [1, 2]), (true, vec![2]));
}

/// No entry could write heartbeats during the outage; the first scan after it must not expire them.
#[test]
fn a_platform_outage_removes_no_entries() {
    let mut roster = Roster::default();
    scan(&mut roster, 0, [1, 1], [1, 2]);
    assert_eq!(scan(&mut roster, 900_000, [1, 1], [1, 2]), (true, vec![]));
    assert_eq!(scan(&mut roster, 902_000, [2, 1], [1, 2]), (true, vec![]));
}

#[test]
fn an_entry_at_the_same_address_replaces_its_predecessor_at_once() {
    let mut roster = Roster::default();
    assert_eq!(scan(&mut roster, 0, [1, 1], [7, 7]), (true, vec![2]));
}

#[test]
fn announcements_rotate_and_suspects_come_last() {
    let entries: Vec<SocketAddr> = (1..=5).map(addr).collect();
    let mut choice = EntryChoice::new(AgentId(9), vec![addr(9)]);
    assert_eq!(
        choice.next_attempt_order(Instant::from_millis(0)),
        [addr(9)]
    );
    choice.set_roster(entries);
    let firsts: Vec<SocketAddr> = (0..6)
        .map(|_| choice.next_attempt_order(Instant::from_millis(0))[0])
        .collect();
    assert_eq!(firsts[..3], firsts[3..]);
    assert_eq!(firsts.iter().collect::<BTreeSet<_>>().len(), 3);

    choice.mark_suspect(Instant::from_millis(0), firsts[0]);
    let round = choice.next_attempt_order(Instant::from_millis(2_999));
    assert_eq!(round.last(), Some(&firsts[0]));
    assert_eq!(round.len(), 6);
    let later = choice.next_attempt_order(Instant::from_millis(3_000));
    assert_ne!(later.last(), Some(&firsts[0]));
}

/// Removing one entry must not make all agents announce themselves to other entries at once.
#[test]
fn removing_an_entry_moves_only_its_own_agents() {
    let all: Vec<SocketAddr> = (1..=8).map(addr).collect();
    let without: Vec<SocketAddr> = (1..=7).map(addr).collect();
    for agent in 0..200 {
        let first =
            |entries: &[SocketAddr]| super::entry_choice::ranked(AgentId(agent), entries)[0];
        let before = first(&all);
        assert!(before == addr(8) || before == first(&without), "{agent}");
    }
}
