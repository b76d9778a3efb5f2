//! Exchanges the operators' document with agents.

use {
    super::{DispatchAction, DispatchLogEvent, Dispatcher, LinkId, worker_link::WorkerKey},
    crate::core::{
        document::{Document, DocumentPart, FetchStep},
        link::EntryFrame,
        time::Instant,
    },
};

/// Number of agents that hold the document for entries without access to the store; all but one may
/// fail.
const DOCUMENT_HOLDERS: usize = 3;
/// How long an entry with a document waits before it fetches a newer one from an agent, in
/// milliseconds; it usually reads it from the store by then.
const FETCH_DELAY_MS: u64 = 400;

impl Dispatcher {
    /// Whether the agent is to hold the document.
    pub(super) fn is_document_holder(&self, key: WorkerKey) -> bool {
        let connected = self.by_agent.values().filter(|key| {
            let worker = self.workers.get(**key);
            worker.is_some_and(|worker| worker.link.is_some())
        });
        connected
            .take(DOCUMENT_HOLDERS)
            .any(|holder| *holder == key)
    }

    pub(super) fn set_document(&mut self, document: Document) {
        self.document.update(document);
        self.document_behind_since = None;
    }

    /// Fetches the document from this agent if it is newer and [`FETCH_DELAY_MS`] has passed.
    pub(super) fn fetch_document(&mut self, now: Instant, link: LinkId, revision: u64) {
        let held = self.document.revision();
        if revision <= held {
            return;
        }
        let document_behind_since = *self.document_behind_since.get_or_insert(now);
        if held > 0 && now.millis_since(document_behind_since) < FETCH_DELAY_MS {
            return;
        }
        if let Some(request) = self.document.start_fetch(now, link, revision) {
            let frame = EntryFrame::FetchDocument(request);
            self.actions.push(DispatchAction::Send { link, frame });
        }
    }

    pub(super) fn handle_document_part(&mut self, now: Instant, link: LinkId, part: &DocumentPart) {
        match self.document.handle_part(now, link, part) {
            FetchStep::None => {}
            FetchStep::Request(request) => {
                let frame = EntryFrame::FetchDocument(request);
                self.actions.push(DispatchAction::Send { link, frame });
            }
            FetchStep::Complete(fetched) => {
                self.document_behind_since = None;
                self.log_event(DispatchLogEvent::DocumentFetched {
                    agent: self.agent_of(link),
                    revision: fetched.document.revision,
                    bytes: fetched.document.text.len(),
                    took_ms: fetched.took_ms,
                });
                let action = DispatchAction::ApplyDocument(fetched.document);
                self.actions.push(action);
            }
        }
    }

    fn agent_of(&self, link: LinkId) -> String {
        let key = self.by_link.get(&link);
        let worker = key.and_then(|key| self.workers.get(*key));
        worker
            .map(|worker| worker.agent.clone())
            .unwrap_or_default()
    }
}
