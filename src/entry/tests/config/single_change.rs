//! Tests of sequential changes: the result under each fault, and the number of store calls.

use {
    super::{CallFault, FakePlatform, change, config_store, in_virtual_time, operator, values},
    crate::{
        core::config::{SECTIONS, ZoneState},
        entry::{ApplyError, Change, Edit},
    },
    std::{sync::Arc, time::Duration},
    tokio::time::sleep,
};

macro_rules! store_fault_cases {
    ($($name:ident: $faults:expr => $outcome:literal, version $version:literal;)+) => {
        $(
            #[test]
            fn $name() {
                let (outcome, version) = in_virtual_time(change_with_faults(&$faults));
                assert_eq!((outcome.as_str(), version), ($outcome, $version));
            }
        )+
    };
}

/// Applies a change under these faults; returns its result and the final version.
async fn change_with_faults(faults: &[CallFault]) -> (String, u64) {
    let platform = FakePlatform::new(1);
    let entry = config_store(&platform);
    let ops = operator("ops", &SECTIONS);
    entry.apply(&ops, &change([0; 4], 0)).await.expect("first");
    platform.script_faults(faults);
    let outcome = match entry.apply(&ops, &change([0, 0, 5, 0], 1)).await {
        Ok(accepted) => {
            let in_force = entry.state.in_force().expect("in force");
            assert_eq!(in_force.head, accepted.head, "in force here at once");
            "accepted"
        }
        Err(error) => error.as_str(),
    };
    platform.clear_faults();
    sleep(Duration::from_secs(30)).await;
    let other = config_store(&platform);
    other.refresh().await.expect("no faults");
    let in_force = other.state.in_force().expect("in force");
    assert_eq!(
        values(&in_force.document)[2] == 5,
        in_force.head.version == 2
    );
    (outcome.to_owned(), in_force.head.version)
}

// A change makes three calls: read the head row, write the object, write the head row.
store_fault_cases! {
    accepted_without_faults: [] => "accepted", version 2;
    refused_when_reading_the_head_fails: [CallFault::Unavailable] => "store_unavailable", version 1;
    refused_when_writing_the_object_fails:
        [CallFault::None, CallFault::Unavailable] => "store_unavailable", version 1;
    refused_when_writing_the_head_fails:
        [CallFault::None, CallFault::None, CallFault::Unavailable] => "store_unavailable", version 1;
    accepted_when_the_object_reply_is_lost: [CallFault::None, CallFault::ReplyLost] => "accepted", version 2;
    refused_when_the_object_call_is_lost: [CallFault::None, CallFault::CallLost] => "store_unavailable", version 1;
    accepted_when_the_head_reply_is_lost: [CallFault::None, CallFault::None, CallFault::ReplyLost] => "accepted", version 2;
    retried_when_the_head_call_is_lost:
        [CallFault::None, CallFault::None, CallFault::CallLost] => "accepted", version 2;
    delayed_head_write_is_fenced_and_retried:
        [CallFault::None, CallFault::None, CallFault::Delayed] => "accepted", version 2;
    unknown_when_the_head_reply_is_lost_and_reads_fail:
        [vec![CallFault::None, CallFault::None, CallFault::ReplyLost], vec![CallFault::Unavailable; 100]].concat()
            => "outcome_unknown", version 2;
    unknown_when_the_head_call_is_lost_and_reads_fail:
        [vec![CallFault::None, CallFault::None, CallFault::CallLost], vec![CallFault::Unavailable; 100]].concat()
            => "outcome_unknown", version 1;
}

/// The platform limits reads and writes per second. A change must cost one read and two writes at
/// the accepting entry, and two reads at every other entry.
#[test]
fn a_change_costs_three_store_calls_and_two_at_each_other_entry() {
    in_virtual_time(async {
        let platform = FakePlatform::new(2);
        let (entry, other) = (config_store(&platform), config_store(&platform));
        let ops = operator("ops", &SECTIONS);
        entry.apply(&ops, &change([0; 4], 0)).await.expect("first");
        platform.drain_call_count();
        entry
            .apply(&ops, &change([1, 0, 0, 0], 1))
            .await
            .expect("change");
        assert_eq!(platform.drain_call_count(), 3);
        other.refresh().await.expect("refresh");
        assert_eq!(platform.drain_call_count(), 2);
    });
}

/// A stale document is merged if its sections haven't changed since; a conflict names the author of
/// the change that came first.
#[test]
fn stale_documents_merge_by_section_and_conflicts_name_the_author() {
    in_virtual_time(async {
        let platform = FakePlatform::new(3);
        let entry = config_store(&platform);
        let all = operator("ops", &SECTIONS);
        let hardware = operator("hardware", &["capacity"]);
        let zones = operator("night-shift", &["zones"]);
        entry.apply(&all, &change([0; 4], 0)).await.expect("first");
        let first = change([0, 0, 7, 0], 1);
        entry.apply(&zones, &first).await.expect("zones");
        let stale = change([9, 0, 0, 0], 1);
        let accepted = entry.apply(&hardware, &stale).await.expect("capacity");
        assert_eq!(accepted.sections, ["capacity"]);
        let in_force = entry.state.in_force().expect("in force");
        assert_eq!(values(&in_force.document), [9, 0, 7, 0]);

        let again = entry.apply(&hardware, &stale).await.expect("again");
        assert_eq!((again.head.version, again.sections.len()), (3, 0));

        let second = change([0, 0, 8, 0], 1);
        let Err(ApplyError::Conflict(3, conflicts)) = entry.apply(&zones, &second).await else {
            panic!("a conflict")
        };
        assert_eq!(conflicts.len(), 1);
        assert_eq!((conflicts[0].section, conflicts[0].based_on), ("zones", 1));
        assert_eq!(conflicts[0].changed.author, "night-shift");
        assert_eq!(conflicts[0].changed.version, 2);
        assert!(conflicts[0].changed.changed_at_ms > 0);

        let foreign = entry.apply(&hardware, &change([9, 1, 7, 0], 3)).await;
        assert_eq!(
            foreign.err(),
            Some(ApplyError::Forbidden("services".to_owned()))
        );
        let future = entry.apply(&all, &change([0; 4], 9)).await;
        assert_eq!(future.err(), Some(ApplyError::UnknownBase(9)));
    });
}

/// Two changes of different sections, each valid on its own, can make an invalid document: one
/// reduces a worker's slots, the other raises a quota above the remaining slots.
#[test]
fn a_merge_that_breaks_a_rule_across_sections_is_refused() {
    in_virtual_time(async {
        let platform = FakePlatform::new(4);
        let entry = config_store(&platform);
        let ops = operator("ops", &SECTIONS);
        let text = super::document([0; 4]);
        entry.apply(&ops, &change([0; 4], 0)).await.expect("first");
        let with = |text: String| Change {
            edit: Edit::Document {
                text,
                based_on: super::based_on_all(1),
            },
            close_last_zone: false,
        };
        let fewer = with(text.replace("slots = 8", "slots = 4"));
        let more = with(text.replace("slots = 1\n", "slots = 8\n"));
        entry.apply(&ops, &fewer).await.expect("capacity");
        let Err(ApplyError::Invalid(faults)) = entry.apply(&ops, &more).await else {
            panic!("refused")
        };
        assert_eq!(faults[0].field, "quotas.t0.slots");
    });
}

/// Twenty operators open and close zones concurrently through two entries. Changes that conflict
/// are retried on the newest version, and the only refusal allowed is `Busy`.
#[test]
fn at_least_half_of_twenty_concurrent_zone_changes_are_accepted() {
    in_virtual_time(async {
        let platform = FakePlatform::new(5);
        let entries = [config_store(&platform), config_store(&platform)];
        let ops = operator("ops", &SECTIONS);
        entries[0]
            .apply(&ops, &change([0; 4], 0))
            .await
            .expect("first");
        entries[1].refresh().await.expect("refresh");
        let tasks: Vec<_> = (0..20)
            .map(|number| {
                let entry = Arc::clone(&entries[number % 2]);
                let operator = operator(&format!("operator-{number}"), &SECTIONS);
                let state = [ZoneState::Out, ZoneState::Open][number % 2];
                let edit = Edit::Zone {
                    zone: "z".to_owned(),
                    state,
                };
                tokio::spawn(async move {
                    let change = Change {
                        edit,
                        close_last_zone: true,
                    };
                    entry.apply(&operator, &change).await
                })
            })
            .collect();
        let mut accepted = 0;
        for task in tasks {
            match task.await.expect("no panic") {
                Ok(_) => accepted += 1,
                Err(ApplyError::Busy) => {}
                Err(error) => panic!("{error}"),
            }
        }
        assert!(
            accepted >= 10,
            "{accepted} of 20 accepted, the rest refused as busy"
        );
    });
}
