//! A process's copy of the document.

use {
    super::{Document, DocumentPart, PartRequest},
    crate::core::time::Instant,
    std::sync::Arc,
};

/// Maximum size of a part, in bytes.
const MAX_PART_BYTES: u64 = 32 << 10;
/// Time without a part after which the fetch may move to another peer, in milliseconds.
const PART_TIMEOUT_MS: u64 = 500;
/// Maximum size of a fetched document, in bytes.
const MAX_DOCUMENT_BYTES: u64 = 32 << 20;

/// The document of a process, and the fetch of a newer revision from a peer.
#[derive(Debug)]
pub(crate) struct DocumentCopy<P> {
    current: Option<Document>,
    /// The document before `current`, for peers that are still fetching it.
    previous: Option<Document>,
    fetch: Option<Fetch<P>>,
}

#[derive(Debug)]
struct Fetch<P> {
    /// `None` after the peer has disconnected.
    peer: Option<P>,
    revision: u64,
    text: Vec<u8>,
    started_at: Instant,
    last_part_at: Instant,
}

/// A completely fetched document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct FetchedDocument {
    pub(crate) document: Document,
    /// Duration of the fetch.
    pub(crate) took_ms: u64,
}

/// What to do after a received part.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum FetchStep {
    /// The part is ignored, or the fetch is aborted.
    None,
    /// Request the next part.
    Request(PartRequest),
    /// The document is complete and is now the current one.
    Complete(FetchedDocument),
}

impl<P> Default for DocumentCopy<P> {
    fn default() -> Self {
        Self {
            current: None,
            previous: None,
            fetch: None,
        }
    }
}

impl<P: Copy + PartialEq> DocumentCopy<P> {
    /// Revision of the current document; zero without one.
    pub(crate) fn revision(&self) -> u64 {
        self.current
            .as_ref()
            .map_or(0, |document| document.revision)
    }

    /// Replaces the current document if the given one is newer.
    pub(crate) fn update(&mut self, document: Document) {
        if document.revision <= self.revision() {
            return;
        }
        if self
            .fetch
            .as_ref()
            .is_some_and(|fetch| fetch.revision <= document.revision)
        {
            self.fetch = None;
        }
        self.previous = self.current.replace(document);
    }

    /// Starts to fetch a newer revision from a peer unless a fetch is in progress. An interrupted fetch of the same
    /// revision resumes where it stopped.
    pub(crate) fn start_fetch(
        &mut self,
        now: Instant,
        peer: P,
        revision: u64,
    ) -> Option<PartRequest> {
        if revision <= self.revision() {
            return None;
        }
        let is_in_progress = |fetch: &Fetch<P>| {
            fetch.peer.is_some() && now.millis_since(fetch.last_part_at) < PART_TIMEOUT_MS
        };
        if self.fetch.as_ref().is_some_and(is_in_progress) {
            return None;
        }
        let interrupted = self.fetch.take().filter(|fetch| fetch.revision == revision);
        let (text, started_at) =
            interrupted.map_or((Vec::new(), now), |fetch| (fetch.text, fetch.started_at));
        let offset = text.len() as u64;
        self.fetch = Some(Fetch {
            peer: Some(peer),
            revision,
            text,
            started_at,
            last_part_at: now,
        });
        Some(PartRequest { revision, offset })
    }

    /// Returns the part that a peer requests; empty if the revision is no longer available.
    pub(crate) fn part(&self, request: PartRequest) -> DocumentPart {
        let mut documents = self.current.iter().chain(&self.previous);
        let document = documents.find(|document| document.revision == request.revision);
        let text: &[u8] = document.map_or(&[], |document| &document.text);
        let length = text.len() as u64;
        let end = request.offset.saturating_add(MAX_PART_BYTES).min(length);
        let range = usize::try_from(request.offset).unwrap_or(usize::MAX)
            ..usize::try_from(end).unwrap_or(usize::MAX);
        DocumentPart {
            request,
            document_bytes: length,
            bytes: Arc::from(text.get(range).unwrap_or_default()),
        }
    }

    /// Handles a part that a peer sent.
    pub(crate) fn handle_part(&mut self, now: Instant, peer: P, part: &DocumentPart) -> FetchStep {
        let Some(fetch) = &mut self.fetch else {
            return FetchStep::None;
        };
        let expected = PartRequest {
            revision: fetch.revision,
            offset: fetch.text.len() as u64,
        };
        if fetch.peer != Some(peer) || part.request != expected {
            return FetchStep::None;
        }
        if part.bytes.is_empty() || part.document_bytes > MAX_DOCUMENT_BYTES {
            self.fetch = None;
            return FetchStep::None;
        }
        fetch.last_part_at = now;
        fetch.text.extend_from_slice(&part.bytes);
        let offset = fetch.text.len() as u64;
        if offset < part.document_bytes {
            return FetchStep::Request(PartRequest { offset, ..expected });
        }
        let fetched = FetchedDocument {
            document: Document {
                revision: fetch.revision,
                text: Arc::from(std::mem::take(&mut fetch.text)),
            },
            took_ms: now.millis_since(fetch.started_at),
        };
        self.update(fetched.document.clone());
        FetchStep::Complete(fetched)
    }

    /// Interrupts a fetch from this peer; it can resume with another one.
    pub(crate) fn disconnect_peer(&mut self, peer: P) {
        if let Some(fetch) = &mut self.fetch
            && fetch.peer == Some(peer)
        {
            fetch.peer = None;
        }
    }
}
