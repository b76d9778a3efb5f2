//! Unit tests of the zone gate and the permit.

use {
    crate::core::{
        gate::{ChangeOutcome, Permit, ZoneGate},
        message::{Closing, GateStatus},
        ticket::AgentId,
        time::Instant,
    },
    std::collections::BTreeSet,
};

const ZONE: &str = "keflavik";
const OUTAGE_LIMIT_MS: u64 = 120_000;
const OTHER: AgentId = AgentId(2);

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

fn status_at_version(version: u64) -> GateStatus {
    GateStatus {
        version,
        ..GateStatus::default()
    }
}

/// A gate that has read version 1 and knows one other entry.
fn gate() -> ZoneGate {
    let mut gate = ZoneGate::new(OUTAGE_LIMIT_MS);
    gate.record_row_written(at(900));
    gate.record_head_read(at(1_000), 1);
    gate.record_roster_read(at(1_000), &BTreeSet::from([OTHER]));
    gate
}

#[test]
fn an_entry_that_never_read_the_roster_grants_nothing() {
    let mut gate = ZoneGate::new(OUTAGE_LIMIT_MS);
    gate.record_head_read(at(0), 1);
    assert!(!gate.may_grant(at(1), ZONE, "w01"));
    gate.record_roster_read(at(0), &BTreeSet::new());
    assert!(gate.may_grant(at(1), ZONE, "w01"));
}

/// Permits stop once another entry is unresponsive, as it may have written a closing.
#[test]
fn a_platform_outage_does_not_stop_permits_while_all_entries_respond() {
    let mut gate = gate();
    for second in 1..60 {
        gate.record_status(at(second * 1_000), OTHER, status_at_version(1));
        assert!(
            gate.may_grant(at(second * 1_000 + 999), ZONE, "w01"),
            "{second}"
        );
    }
    assert!(!gate.may_grant(at(61_001), ZONE, "w01"));
}

/// New entries that removed the row would close a zone without querying this entry.
#[test]
fn permits_without_the_platform_end_before_the_row_may_be_removed() {
    let mut gate = gate();
    gate.record_status(at(120_000), OTHER, status_at_version(1));
    assert!(gate.may_grant(at(120_899), ZONE, "w01"));
    assert!(!gate.may_grant(at(120_900), ZONE, "w01"));
    gate.record_row_written(at(120_900));
    assert!(gate.may_grant(at(120_901), ZONE, "w01"));
}

/// A head read by another entry must not count for longer than one made here.
#[test]
fn another_entrys_recent_head_read_counts_with_its_age() {
    let mut gate = gate();
    let mut fresh = status_at_version(1);
    fresh.head_age_ms = Some(500);
    gate.record_status(at(10_000), OTHER, fresh);
    gate.record_roster_read(at(10_000), &BTreeSet::from([OTHER, AgentId(3)]));
    assert!(gate.may_grant(at(11_499), ZONE, "w01"));
    assert!(!gate.may_grant(at(11_500), ZONE, "w01"));
}

/// A closing whose reply is lost must close its zone, and no other one.
#[test]
fn a_closing_of_unknown_outcome_counts_until_the_head_is_read() {
    let mut gate = gate();
    let change = gate.begin_change(2, BTreeSet::from([Closing::Zone(ZONE.to_owned())]));
    gate.finish_change(at(1_500), change, ChangeOutcome::MaybeApplied);
    assert!(!gate.may_grant(at(1_600), ZONE, "w01"));
    assert!(gate.may_grant(at(1_600), "grindavik", "w01"));
    assert!(
        gate.status(at(1_600))
            .closing
            .contains(&Closing::Zone(ZONE.to_owned()))
    );

    gate.record_head_read(at(2_000), 1);
    assert!(
        !gate.may_grant(at(2_000), ZONE, "w01"),
        "the write may still take effect"
    );
    gate.record_head_read(at(40_000), 1);
    assert!(
        gate.may_grant(at(40_000), ZONE, "w01"),
        "the platform dropped it"
    );
}

#[test]
fn another_entrys_pending_closing_or_newer_version_stops_permits() {
    let mut gate = gate();
    let mut closing = status_at_version(1);
    closing.closing.insert(Closing::Zone(ZONE.to_owned()));
    gate.record_status(at(10_000), OTHER, closing);
    assert!(!gate.may_grant(at(10_001), ZONE, "w01"));
    assert!(gate.may_grant(at(10_001), "grindavik", "w01"));
    gate.record_status(at(10_500), OTHER, status_at_version(2));
    assert!(!gate.may_grant(at(10_501), "grindavik", "w01"));
    gate.record_version(2);
    assert!(gate.may_grant(at(10_501), "grindavik", "w01"));
}

/// Other entries would not query an unknown entry about the changes that it wrote.
#[test]
fn an_entry_is_known_to_all_only_when_each_has_replied() {
    let mut gate = gate();
    assert!(!gate.is_known_to_all());
    gate.record_status(at(1_100), OTHER, status_at_version(1));
    assert!(gate.is_known_to_all());
    gate.add_member(at(1_200), AgentId(3));
    assert!(!gate.is_known_to_all());
}

/// A scan that started before an entry registered may have missed its row and must not remove it.
#[test]
fn an_entry_announced_during_a_scan_stays_a_member() {
    let mut gate = gate();
    gate.add_member(at(2_100), AgentId(3));
    gate.record_roster_read(at(2_000), &BTreeSet::from([OTHER]));
    gate.record_status(at(10_000), OTHER, status_at_version(1));
    assert!(!gate.may_grant(at(10_100), ZONE, "w01"));
    gate.record_roster_read(at(10_100), &BTreeSet::from([OTHER]));
    assert!(gate.may_grant(at(10_200), ZONE, "w01"));
}

/// Neither a delayed reply nor one with an older version may extend a permit.
#[test]
fn a_permit_is_measured_from_the_announcement_and_ignores_older_versions() {
    let mut permit = Permit::unissued();
    permit.renew(at(1_000), 2, true, 3_000);
    assert!(permit.is_valid(at(3_999)));
    assert!(!permit.is_valid(at(4_000)));
    permit.renew(at(5_000), 3, false, 0);
    permit.renew(at(5_100), 2, true, 3_000);
    assert!(!permit.is_valid(at(5_200)));
}
