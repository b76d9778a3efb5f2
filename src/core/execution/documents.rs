//! Replication of the operators' document to agents, for entries that cannot reach the store.
//!
//! While no entry can, the agents that hold the document read its changes from the store.

use {
    super::{ExecutionLogEvent, Executor, SessionId},
    crate::core::{
        document::{Document, DocumentPart, FetchStep},
        link::AgentFrame,
        time::Instant,
    },
};

/// Time for which an entry must name this agent as a holder before it fetches the document, in
/// milliseconds; while a site starts, the holders change.
const HOLDER_FETCH_DELAY_MS: u64 = 500;

impl Executor {
    /// Fetches the document if the entry has a newer revision and names this agent as a holder.
    pub(super) fn on_document_revision(
        &mut self,
        now: Instant,
        session: SessionId,
        revision: u64,
        is_holder: bool,
    ) {
        let Some(link) = self.sessions.get_mut(&session) else {
            return;
        };
        if !is_holder {
            link.holder_since = None;
            return;
        }
        let holder_since = *link.holder_since.get_or_insert(now);
        if now.millis_since(holder_since) < HOLDER_FETCH_DELAY_MS {
            return;
        }
        if let Some(request) = self.document.start_fetch(now, session, revision) {
            self.send(session, AgentFrame::FetchDocument(request));
        }
    }

    /// Records up to which store version an entry has read the operators' rows.
    ///
    /// Says nothing while the entry holds a newer document than this agent: it may fail before this
    /// agent has fetched it.
    pub(super) fn record_rows_version(&mut self, rows_version: u64, document_revision: u64) {
        if document_revision <= self.document.revision() {
            self.rows_version = self.rows_version.max(rows_version);
        }
    }

    /// Store version after which the document may have changed; `None` if no entry names this agent as
    /// a holder.
    pub(super) fn unread_document_after(&self) -> Option<u64> {
        let is_holder = self
            .sessions
            .values()
            .any(|link| link.holder_since.is_some());
        is_holder.then(|| self.rows_version.max(self.document.revision()))
    }

    /// Holds a document that was read from the store; entries fetch it when they see its revision.
    pub(super) fn on_document_read(&mut self, document: Document) {
        if document.revision <= self.document.revision() {
            return;
        }
        self.log_event(ExecutionLogEvent::DocumentRead {
            revision: document.revision,
            bytes: document.text.len(),
        });
        self.document.update(document);
    }

    pub(super) fn handle_document_part(
        &mut self,
        now: Instant,
        session: SessionId,
        part: &DocumentPart,
    ) {
        match self.document.handle_part(now, session, part) {
            FetchStep::None => {}
            FetchStep::Request(request) => self.send(session, AgentFrame::FetchDocument(request)),
            FetchStep::Complete(fetched) => {
                let link = self.sessions.get(&session);
                self.log_event(ExecutionLogEvent::DocumentFetched {
                    entry: link.map(|link| link.entry.clone()).unwrap_or_default(),
                    revision: fetched.document.revision,
                    bytes: fetched.document.text.len(),
                    took_ms: fetched.took_ms,
                });
            }
        }
    }
}
