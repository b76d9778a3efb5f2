//! Tests of the directory.

use {
    super::{Directory, HomeLocation},
    crate::core::{message::Announcement, ticket::AgentId, time::Instant},
};

fn announcement(agent: u64, worker: &str) -> Announcement {
    Announcement {
        agent: AgentId(agent),
        worker: worker.to_owned(),
        availability_zone: "keflavik".to_owned(),
        peer_addr: ([127, 0, 0, 1], 7_000).into(),
        services: vec!["crew-share".to_owned()],
        slots: 8,
        free_slots: 8,
        leaving: false,
        config_version: 1,
        adopted: Vec::new(),
        grant: None,
    }
}

/// A worker's agent is killed and its successor announces itself; then a delayed announcement
/// of the dead one arrives. A client would see its ticket's home come back from the dead and
/// wait for it. The cause is that announcements may cross; the replaced agent must stay replaced.
#[test]
fn a_replaced_agent_stays_replaced_when_its_last_announcement_is_late() {
    let mut directory = Directory::default();
    directory.announce(Instant::from_millis(0), announcement(1, "w01"));
    directory.announce(Instant::from_millis(10), announcement(2, "w01"));
    directory.announce(Instant::from_millis(20), announcement(1, "w01"));
    assert_eq!(directory.locate(AgentId(1)), HomeLocation::Replaced);
    assert_eq!(
        directory.locate(AgentId(2)),
        HomeLocation::At(([127, 0, 0, 1], 7_000).into())
    );
}

/// An agent falls silent, as when its host is lost. Work sent there would wait in vain, so it
/// gets none after three seconds without an announcement.
#[test]
fn a_silent_agent_gets_no_new_work() {
    let mut directory = Directory::default();
    directory.announce(Instant::from_millis(0), announcement(1, "w01"));
    assert!(directory.takes_work(Instant::from_millis(2_999), AgentId(1)));
    assert!(!directory.takes_work(Instant::from_millis(3_000), AgentId(1)));
}
