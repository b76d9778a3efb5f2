//! The operators' document, which an agent may hold for entries that do not reach the store.

use {
    super::{ExecutionLogEvent, Executor, SessionId},
    crate::core::{
        document::{DocumentPart, FetchStep},
        link::AgentFrame,
        time::Instant,
    },
};

/// Time for which an entry names this agent as a holder before it fetches the document, in milliseconds.
///
/// Guards against copies at most agents of a site that starts: an entry names the first agents that it has met, and
/// meets others a moment later.
const HOLDER_PAUSE_MS: u64 = 500;

impl Executor {
    /// Fetches the document from an entry that holds a newer one and names this agent as a holder.
    pub(super) fn on_document_offer(
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
        if now.millis_since(holder_since) < HOLDER_PAUSE_MS {
            return;
        }
        if let Some(request) = self.document.start_fetch(now, session, revision) {
            self.send(session, AgentFrame::FetchDocument(request));
        }
    }

    pub(super) fn take_document_part(
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
