//! Replication of the operators' document to agents, for entries that cannot reach the store.

use {
    super::{ExecutionLogEvent, Executor, SessionId},
    crate::core::{
        document::{DocumentPart, FetchStep},
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
