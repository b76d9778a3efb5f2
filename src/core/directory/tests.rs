//! Tests of the directory.

use {
    super::{AgentDigest, DigestLog, Directory, HomeLocation},
    crate::core::{
        message::{AgentReport, Announcement},
        ticket::AgentId,
        time::Instant,
    },
};

fn announcement(agent: u64, worker: &str) -> Announcement {
    Announcement {
        agent: AgentId(agent),
        number: 1,
        worker: worker.to_owned(),
        availability_zone: "keflavik".to_owned(),
        peer_addr: ([127, 0, 0, 1], 7_000).into(),
        services: vec!["crew-share".to_owned()],
        slots: 8,
        free_slots: 8,
        leaving: false,
        config_version: 1,
        roster_digest: 0,
        adopted: Vec::new(),
        grant: None,
    }
}

/// Clients must not be sent to a dead agent as the home of their tickets.
#[test]
fn a_late_announcement_does_not_revive_a_replaced_agent() {
    let mut directory = Directory::default();
    directory.record_announcement(Instant::from_millis(0), announcement(1, "w01"));
    directory.record_announcement(Instant::from_millis(10), announcement(2, "w01"));
    directory.record_announcement(Instant::from_millis(20), announcement(1, "w01"));
    assert_eq!(directory.locate(AgentId(1)), HomeLocation::Replaced);
    assert_eq!(
        directory.locate(AgentId(2)),
        HomeLocation::At(([127, 0, 0, 1], 7_000).into())
    );
}

/// Work sent to an agent whose host has failed would never run.
#[test]
fn an_unresponsive_agent_gets_no_new_work() {
    let mut directory = Directory::default();
    directory.record_announcement(Instant::from_millis(0), announcement(1, "w01"));
    assert!(directory.accepts_work(Instant::from_millis(2_999), AgentId(1)));
    assert!(!directory.accepts_work(Instant::from_millis(3_000), AgentId(1)));
}

const LOCAL_ENTRY: AgentId = AgentId(100);
const REMOTE_ENTRY: AgentId = AgentId(200);

/// Sends a digest of one directory to another and confirms it with the unknown indices.
fn exchange(at_ms: u64, log: &mut DigestLog, from: &Directory, to: &mut Directory) -> AgentDigest {
    let now = Instant::from_millis(at_ms);
    let digest = log.build_digest(now, REMOTE_ENTRY, from);
    for report in &digest.reports {
        to.record_report(now, LOCAL_ENTRY, report.clone());
    }
    let unknown: Vec<u32> = digest
        .heartbeats
        .iter()
        .filter(|heartbeat| !to.record_heartbeat(now, LOCAL_ENTRY, **heartbeat))
        .map(|heartbeat| heartbeat.index)
        .collect();
    log.confirm(REMOTE_ENTRY, &digest, &unknown);
    digest
}

#[test]
fn an_agent_is_reported_in_full_once_and_then_by_heartbeats() {
    let (mut local, mut remote) = (Directory::default(), Directory::default());
    let mut log = DigestLog::default();
    local.record_announcement(Instant::from_millis(0), announcement(1, "w01"));
    let first = exchange(10, &mut log, &local, &mut remote);
    assert_eq!((first.reports.len(), first.heartbeats.len()), (1, 0));
    let unchanged = exchange(500, &mut log, &local, &mut remote);
    assert_eq!(
        (unchanged.reports.len(), unchanged.heartbeats.len()),
        (0, 0)
    );
    local.record_announcement(Instant::from_millis(1_000), announcement(1, "w01"));
    let heartbeat = exchange(1_010, &mut log, &local, &mut remote);
    assert_eq!(
        (heartbeat.reports.len(), heartbeat.heartbeats.len()),
        (0, 1)
    );
    assert!(remote.accepts_work(Instant::from_millis(4_000), AgentId(1)));

    // The other entry restarts without state and requests full reports.
    let mut restarted = Directory::default();
    local.record_announcement(Instant::from_millis(2_000), announcement(1, "w01"));
    exchange(2_010, &mut log, &local, &mut restarted);
    local.record_announcement(Instant::from_millis(3_000), announcement(1, "w01"));
    exchange(3_010, &mut log, &local, &mut restarted);
    assert!(restarted.accepts_work(Instant::from_millis(3_020), AgentId(1)));
}

/// Announcements can arrive out of order, directly and by way of another entry.
#[test]
fn a_forwarded_older_announcement_does_not_undo_leaving() {
    let mut directory = Directory::default();
    let leaving = Announcement {
        number: 2,
        leaving: true,
        ..announcement(1, "w01")
    };
    directory.record_announcement(Instant::from_millis(0), leaving);
    let report = AgentReport {
        index: 1,
        announcement: announcement(1, "w01"),
    };
    directory.record_report(Instant::from_millis(10), REMOTE_ENTRY, report);
    assert!(!directory.accepts_work(Instant::from_millis(20), AgentId(1)));
}

/// If the successor counted as replaced, its clients would assume that their home no longer exists.
#[test]
fn a_forwarded_announcement_of_a_dead_agent_does_not_replace_its_successor() {
    let mut directory = Directory::default();
    directory.record_announcement(Instant::from_millis(0), announcement(2, "w01"));
    let report = AgentReport {
        index: 1,
        announcement: announcement(1, "w01"),
    };
    directory.record_report(Instant::from_millis(10), REMOTE_ENTRY, report);
    assert!(directory.accepts_work(Instant::from_millis(20), AgentId(2)));
    assert_eq!(directory.locate(AgentId(1)), HomeLocation::Unknown);
}

/// When a rack fails, calls to its agents fail before the liveness timeout has passed.
#[test]
fn an_agent_gets_no_new_work_after_a_failed_call_until_the_next_contact() {
    let mut directory = Directory::default();
    directory.record_announcement(Instant::from_millis(0), announcement(1, "w01"));
    directory.record_call_failure(Instant::from_millis(100), AgentId(1));
    assert!(!directory.accepts_work(Instant::from_millis(200), AgentId(1)));
    directory.record_announcement(Instant::from_millis(1_000), announcement(1, "w01"));
    assert!(directory.accepts_work(Instant::from_millis(1_100), AgentId(1)));
    directory.record_call_failure(Instant::from_millis(1_200), AgentId(1));
    directory.record_call_success(AgentId(1));
    assert!(directory.accepts_work(Instant::from_millis(1_300), AgentId(1)));
}
