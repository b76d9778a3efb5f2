//! Tests of reading the evacuated zones while no entry can.

use super::{
    EntryFrame, EvacuatedZones, ExecutionAction, ExecutionEvent, NotStartedReason, RunOutcome,
    TestExecutor, heartbeat, start_order,
};

/// Interval of an entry's heartbeats, in milliseconds.
const HEARTBEAT_MS: u64 = 140;

fn zones(version: u64, evacuated: &[&str]) -> EvacuatedZones {
    EvacuatedZones {
        version,
        evacuated: evacuated.iter().map(|zone| (*zone).to_owned()).collect(),
    }
}

impl TestExecutor {
    /// Passes time in which an entry sends heartbeats with this age of its zones at the beginning;
    /// returns when reads were requested, in milliseconds since then.
    fn pass_with_zones(&mut self, for_ms: u64, age_ms: Option<u64>) -> Vec<u64> {
        let start = self.now;
        let mut reads = Vec::new();
        while self.now.millis_since(start) < for_ms {
            self.now = self.now.plus_ms(20);
            let passed_ms = self.now.millis_since(start);
            if passed_ms.is_multiple_of(HEARTBEAT_MS) {
                let mut frame = heartbeat(self.now, 0);
                if let EntryFrame::Beat { zones_age_ms, .. } = &mut frame {
                    *zones_age_ms = age_ms.map(|age_ms| age_ms + passed_ms);
                }
                self.send_frame(frame);
            }
            self.send_event(ExecutionEvent::Tick);
            let is_read = |action: &_| matches!(action, ExecutionAction::ReadZones { .. });
            if self.actions.iter().any(is_read) {
                reads.push(passed_ms);
            }
        }
        reads
    }

    fn finish_read(&mut self, zones: Option<EvacuatedZones>) {
        self.send_event(ExecutionEvent::ZonesRead { zones });
    }
}

/// An evacuation reached no agent while the store turned all entries away.
#[test]
fn zones_that_no_entry_reads_are_read_from_the_store() {
    let mut test = TestExecutor::ready();
    let reads = test.pass_with_zones(4_000, Some(0));
    assert!(
        matches!(reads[..], [first_ms] if (3_000..=3_600).contains(&first_ms)),
        "{reads:?}"
    );
    test.finish_read(Some(zones(7, &["north"])));
    test.send_frame(EntryFrame::Start(start_order(1)));
    let rejected = RunOutcome::NotStarted(NotStartedReason::Evacuated);
    assert_eq!(test.outcomes(), [rejected]);
}

/// The reads cost each agent a call at the store.
#[test]
fn zones_that_an_entry_reads_are_not_read_again() {
    let mut test = TestExecutor::ready();
    for _ in 0..5 {
        assert_eq!(test.pass_with_zones(2_520, Some(0)), Vec::<u64>::new());
    }
}

/// An entry that has never read the zones can't vouch for them.
#[test]
fn zones_of_an_entry_without_a_read_are_read_at_once() {
    let mut test = TestExecutor::without_worker();
    test.open_session();
    assert_eq!(test.pass_with_zones(200, None), [140]);
}

/// A zone that was taken back stayed unused as long as the entries were turned away.
#[test]
fn a_zone_that_is_taken_back_is_read_from_the_store() {
    let mut test = TestExecutor::ready();
    test.send_frame(EntryFrame::News(zones(5, &["north"])));
    assert_eq!(test.pass_with_zones(4_000, Some(0)).len(), 1);
    test.finish_read(Some(zones(9, &[])));
    test.send_frame(EntryFrame::Start(start_order(1)));
    assert_eq!(test.start_calls().len(), 1);
}

/// Work must go on while the store serves nobody.
#[test]
fn starts_go_on_while_reads_fail() {
    let mut test = TestExecutor::ready();
    let mut requests = test.pass_with_zones(4_000, Some(0)).len();
    for _ in 0..6 {
        test.finish_read(None);
        requests += test.pass_with_zones(2_520, Some(4_000)).len();
    }
    assert!((5..=10).contains(&requests), "{requests} reads in 19 s");
    test.send_frame(EntryFrame::Start(start_order(1)));
    assert_eq!(test.start_calls().len(), 1);
}

/// A read of an older state must neither replace newer zones nor count as a read of them.
#[test]
fn an_outdated_read_changes_nothing() {
    let mut test = TestExecutor::ready();
    test.send_frame(EntryFrame::News(zones(9, &["north"])));
    assert_eq!(test.pass_with_zones(4_000, Some(0)).len(), 1);
    test.finish_read(Some(zones(8, &[])));
    assert_eq!(test.pass_with_zones(1_000, Some(4_000)).len(), 1);
    test.send_frame(EntryFrame::Start(start_order(1)));
    let rejected = RunOutcome::NotStarted(NotStartedReason::Evacuated);
    assert_eq!(test.outcomes(), [rejected]);
}

/// A heartbeat that was delayed says nothing about the present.
#[test]
fn the_age_of_zones_counts_from_the_echoed_timestamp() {
    let mut test = TestExecutor::ready();
    test.pass_with_zones(140, Some(0));
    let late = heartbeat(test.now, 0);
    assert_eq!(test.pass_with_zones(3_660, Some(0)).len(), 1);
    test.finish_read(None);
    test.send_frame(late);
    assert_eq!(test.pass_with_zones(700, Some(4_000)).len(), 1);
}
