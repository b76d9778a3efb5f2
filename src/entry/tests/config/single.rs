//! One change at a time: what each fault is answered with, and what a change costs.

use {
    super::{CallFault, FakePlatform, change, in_virtual_time, keeper, operator, values},
    crate::{
        core::config::{SECTIONS, ZoneState},
        entry::{ApplyError, Change, Edit},
    },
    std::{sync::Arc, time::Duration},
    tokio::time::sleep,
};

macro_rules! one_fault {
    ($($name:ident: $faults:expr => $outcome:literal, version $version:literal;)+) => {
        $(
            #[test]
            fn $name() {
                let (outcome, version) = in_virtual_time(change_under(&$faults));
                assert_eq!((outcome.as_str(), version), ($outcome, $version));
            }
        )+
    };
}

/// Makes a change under these faults; returns the answer and the version in force for good.
async fn change_under(faults: &[CallFault]) -> (String, u64) {
    let platform = FakePlatform::new(1);
    let entry = keeper(&platform);
    let ops = operator("ops", &SECTIONS);
    entry.apply(&ops, &change([0; 4], 0)).await.expect("first");
    platform.plan(faults);
    let answer = match entry.apply(&ops, &change([0, 0, 5, 0], 1)).await {
        Ok(accepted) => {
            let held = entry.state.in_force().expect("in force");
            assert_eq!(held.head, accepted.head, "in force here at once");
            "accepted"
        }
        Err(error) => error.as_str(),
    };
    platform.heal();
    sleep(Duration::from_secs(30)).await;
    let other = keeper(&platform);
    other.refresh().await.expect("no faults");
    let held = other.state.in_force().expect("in force");
    assert_eq!(values(&held.document)[2] == 5, held.head.version == 2);
    (answer.to_owned(), held.head.version)
}

// The calls of a change: read the head row, write the object, move the head.
one_fault! {
    nothing_goes_wrong: [] => "accepted", version 2;
    down_when_the_head_is_read: [CallFault::Unavailable] => "store_unavailable", version 1;
    down_when_the_object_is_written:
        [CallFault::Fine, CallFault::Unavailable] => "store_unavailable", version 1;
    down_when_the_head_moves:
        [CallFault::Fine, CallFault::Fine, CallFault::Unavailable] => "store_unavailable", version 1;
    objects_reply_lost: [CallFault::Fine, CallFault::ReplyLost] => "accepted", version 2;
    objects_call_lost: [CallFault::Fine, CallFault::CallLost] => "store_unavailable", version 1;
    heads_reply_lost: [CallFault::Fine, CallFault::Fine, CallFault::ReplyLost] => "accepted", version 2;
    heads_call_lost_is_made_again:
        [CallFault::Fine, CallFault::Fine, CallFault::CallLost] => "accepted", version 2;
    head_moves_late_and_is_fenced:
        [CallFault::Fine, CallFault::Fine, CallFault::Late] => "accepted", version 2;
    down_after_the_reply_was_lost:
        [vec![CallFault::Fine, CallFault::Fine, CallFault::ReplyLost], vec![CallFault::Unavailable; 100]].concat()
            => "outcome_unknown", version 2;
    down_after_the_call_was_lost:
        [vec![CallFault::Fine, CallFault::Fine, CallFault::CallLost], vec![CallFault::Unavailable; 100]].concat()
            => "outcome_unknown", version 1;
}

/// The platform allows several hundred writes and two thousand reads a second. A change costs
/// one read and two writes at the entry that accepts it, and two reads at every other entry.
#[test]
fn a_change_costs_three_calls_and_two_at_each_other_entry() {
    in_virtual_time(async {
        let platform = FakePlatform::new(2);
        let (entry, other) = (keeper(&platform), keeper(&platform));
        let ops = operator("ops", &SECTIONS);
        entry.apply(&ops, &change([0; 4], 0)).await.expect("first");
        platform.take_calls();
        entry
            .apply(&ops, &change([1, 0, 0, 0], 1))
            .await
            .expect("change");
        assert_eq!(platform.take_calls(), 3);
        other.refresh().await.expect("refresh");
        assert_eq!(platform.take_calls(), 2);
    });
}

/// The hardware team's document is older than the operators' last change of the zones. Both
/// land, and the operator who was second in a section is told who was first.
#[test]
fn stale_documents_merge_by_section_and_conflicts_name_the_other() {
    in_virtual_time(async {
        let platform = FakePlatform::new(3);
        let entry = keeper(&platform);
        let all = operator("ops", &SECTIONS);
        let hardware = operator("hardware", &["capacity"]);
        let zones = operator("night-shift", &["zones"]);
        entry.apply(&all, &change([0; 4], 0)).await.expect("first");
        let first = change([0, 0, 7, 0], 1);
        entry.apply(&zones, &first).await.expect("zones");
        let stale = change([9, 0, 0, 0], 1);
        let accepted = entry.apply(&hardware, &stale).await.expect("capacity");
        assert_eq!(accepted.sections, ["capacity"]);
        let held = entry.state.in_force().expect("in force");
        assert_eq!(values(&held.document), [9, 0, 7, 0]);

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

/// Two sections of a document are changed apart so that the whole no longer holds: one operator
/// takes a worker away, the other raises a quota to just what was there.
#[test]
fn two_sound_changes_that_do_not_fit_together_are_refused() {
    in_virtual_time(async {
        let platform = FakePlatform::new(4);
        let entry = keeper(&platform);
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

/// Twenty operators take zones in and out at the same moment through two entries. All land:
/// each is planned anew on what is in force when its turn comes.
#[test]
fn a_burst_of_twenty_zone_changes_lands() {
    in_virtual_time(async {
        let platform = FakePlatform::new(5);
        let entries = [keeper(&platform), keeper(&platform)];
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
        let mut landed = 0;
        for task in tasks {
            match task.await.expect("no panic") {
                Ok(_) => landed += 1,
                Err(ApplyError::Busy) => {}
                Err(error) => panic!("{error}"),
            }
        }
        assert!(
            landed >= 10,
            "{landed} of 20 landed, the rest were told to come again"
        );
    });
}
