//! Tests of cancellations that agents pass on between entries.

use {
    super::{SESSION, TestExecutor},
    crate::core::{
        execution::{ExecutionAction, ExecutionEvent, SessionId},
        link::{AgentFrame, EntryFrame},
        work::JobId,
    },
};

const OTHERS: [SessionId; 2] = [SessionId(2), SessionId(3)];

/// A cancellation must reach all other entries, and only these: each would pass on its own again.
macro_rules! relay_cases {
    ($($name:ident: $received:ident => $sent:ident;)+) => {$(
        #[test]
        fn $name() {
            let mut test = TestExecutor::ready();
            for other in OTHERS {
                test.open_session_of(&format!("entry {}", other.0), other);
            }
            let job = JobId::of_number(1);
            test.send_event(ExecutionEvent::Frame {
                session: SESSION,
                frame: EntryFrame::$received { job },
            });
            let expected = OTHERS.map(|session| ExecutionAction::Send {
                session,
                frame: AgentFrame::$sent { job },
            });
            assert_eq!(test.actions, expected);
        }
    )+};
}

relay_cases! {
    a_cancellation_is_passed_on_to_other_entries: CancelJob => CancelJob;
    a_confirmation_is_passed_on_to_other_entries: JobCancelled => JobCancelled;
}
