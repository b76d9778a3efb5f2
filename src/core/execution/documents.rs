//! The operators' document, which an agent may hold for entries that do not reach the store.

use {
    super::{ExecutionNote, Executor, SessionId},
    crate::core::{
        document::{DocumentPart, FetchStep},
        link::AgentFrame,
        time::Instant,
    },
};

impl Executor {
    /// Fetches the document from an entry that holds a newer one.
    pub(super) fn fetch_document(&mut self, now: Instant, session: SessionId, revision: u64) {
        if let Some(request) = self.document.begin_fetch(now, session, revision) {
            self.send(session, AgentFrame::FetchDocument(request));
        }
    }

    pub(super) fn take_document_part(
        &mut self,
        now: Instant,
        session: SessionId,
        part: &DocumentPart,
    ) {
        match self.document.take_part(now, session, part) {
            FetchStep::None => {}
            FetchStep::Ask(request) => self.send(session, AgentFrame::FetchDocument(request)),
            FetchStep::Complete(fetched) => {
                let link = self.sessions.get(&session);
                self.note(ExecutionNote::DocumentFetched {
                    entry: link.map(|link| link.entry.clone()).unwrap_or_default(),
                    revision: fetched.document.revision,
                    bytes: fetched.document.text.len(),
                    took_ms: fetched.took_ms,
                });
            }
        }
    }
}
