//! Tests of reading the operators' document while no entry can.

use {
    super::{EntryFrame, ExecutionAction, ExecutionEvent, SESSION, TestExecutor, heartbeat},
    crate::core::{
        document::{Document, PartRequest},
        link::AgentFrame,
    },
    std::sync::Arc,
};

/// Store version up to which the entry has read the operators' rows.
const ROWS_VERSION: u64 = 40;

fn document(revision: u64) -> Document {
    Document {
        revision,
        text: Arc::from(&b"routes"[..]),
    }
}

impl TestExecutor {
    /// Passes time in which the entry holds a document of this revision, and has read the operators'
    /// rows at the beginning.
    fn pass_as_holder(&mut self, for_ms: u64, revision: u64, is_agent_holder: bool) {
        let start = self.now;
        while self.now.millis_since(start) < for_ms {
            self.now = self.now.plus_ms(100);
            let mut frame = heartbeat(self.now, 0);
            if let EntryFrame::Beat {
                zones_age_ms,
                rows_version,
                document_revision,
                is_holder,
                ..
            } = &mut frame
            {
                *zones_age_ms = Some(self.now.millis_since(start));
                *rows_version = ROWS_VERSION;
                *document_revision = revision;
                *is_holder = is_agent_holder;
            }
            self.send_frame(frame);
            self.send_event(ExecutionEvent::Tick);
            if self.document_reads().next().is_some() {
                return;
            }
        }
    }

    /// From which store version document changes are to be read.
    fn document_reads(&self) -> impl Iterator<Item = Option<u64>> {
        self.actions.iter().filter_map(|action| match action {
            ExecutionAction::ReadZones { document_after } => Some(*document_after),
            _ => None,
        })
    }

    fn assert_read_after(&self, expected: Option<u64>) {
        assert_eq!(self.document_reads().collect::<Vec<_>>(), [expected]);
    }
}

/// A configuration reached no entry while the store turned all of them away.
#[test]
fn a_holder_reads_changes_after_the_entries_reads() {
    let mut test = TestExecutor::ready();
    test.send_event(ExecutionEvent::DocumentRead(document(7)));
    test.pass_as_holder(5_000, 7, true);
    test.assert_read_after(Some(ROWS_VERSION));
}

/// A change that this agent hasn't fetched yet must be read if the entry that holds it fails.
#[test]
fn a_holder_with_an_older_document_reads_changes_after_it() {
    let mut test = TestExecutor::ready();
    test.send_event(ExecutionEvent::DocumentRead(document(7)));
    test.pass_as_holder(5_000, 8, true);
    test.assert_read_after(Some(7));
}

/// The document may have megabytes, which not every agent must read.
#[test]
fn other_agents_do_not_read_the_document() {
    let mut test = TestExecutor::ready();
    test.pass_as_holder(5_000, 7, false);
    test.assert_read_after(None);
}

/// Entries learn of the document by the revision in heartbeats, and request its parts.
#[test]
fn a_document_that_was_read_is_passed_on() {
    let mut test = TestExecutor::ready();
    test.send_event(ExecutionEvent::DocumentRead(document(9)));
    // A late response with an older one.
    test.send_event(ExecutionEvent::DocumentRead(document(8)));
    test.now = test.now.plus_ms(2_000);
    test.send_entry_heartbeat();
    let announces = |action: &ExecutionAction| {
        matches!(
            action,
            ExecutionAction::Send {
                frame: AgentFrame::Beat {
                    document_revision: 9,
                    ..
                },
                ..
            }
        )
    };
    assert!(test.actions.iter().any(announces), "{:?}", test.actions);
    let request = PartRequest {
        revision: 9,
        offset: 0,
    };
    test.send_frame(EntryFrame::FetchDocument(request));
    let sends_text = |action: &ExecutionAction| match action {
        ExecutionAction::Send { session, frame } => {
            *session == SESSION
                && matches!(frame, AgentFrame::DocumentPart(part) if part.bytes[..] == *b"routes")
        }
        _ => false,
    };
    assert!(test.actions.iter().any(sends_text), "{:?}", test.actions);
}
