//! Tests of fetching the document.

use {
    super::{Document, DocumentCopy, FetchStep, PartRequest},
    crate::core::time::Instant,
    std::sync::Arc,
};

const BYTES: usize = 100_000;

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

fn document(revision: u64) -> Document {
    let text: Vec<u8> = (0..BYTES)
        .map(|byte| (byte as u64 * revision) as u8)
        .collect();
    Document {
        revision,
        text: Arc::from(text),
    }
}

fn holder(revisions: impl IntoIterator<Item = u64>) -> DocumentCopy<u8> {
    let mut copy = DocumentCopy::default();
    revisions
        .into_iter()
        .for_each(|revision| copy.update(document(revision)));
    copy
}

/// Runs a fetch from `holder` until it completes or fails.
fn fetch(
    copy: &mut DocumentCopy<u8>,
    holder: &DocumentCopy<u8>,
    revision: u64,
) -> Option<Document> {
    let mut request = copy.start_fetch(at(0), 1, revision)?;
    loop {
        match copy.handle_part(at(1), 1, &holder.part(request)) {
            FetchStep::Request(next) => request = next,
            FetchStep::Complete(fetched) => return Some(fetched.document),
            FetchStep::None => return None,
        }
    }
}

macro_rules! fetch_cases {
    ($($(#[$doc:meta])* $name:ident: $held:expr, $holder:expr, $revision:expr => $fetched:expr;)+) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                let (mut copy, holder) = (holder($held), holder($holder));
                let expected: Option<u64> = $fetched;
                assert_eq!(fetch(&mut copy, &holder, $revision), expected.map(document));
            }
        )+
    };
}

fetch_cases! {
    a_newer_document_is_fetched_completely: [3], [7], 7 => Some(7);
    the_current_document_is_not_fetched_again: [7], [7], 7 => None;
    /// The peer gets a newer document during the fetch.
    the_previous_document_is_still_served: [3], [7, 9], 7 => Some(7);
    a_fetch_of_a_discarded_document_fails: [3], [7, 9, 12], 7 => None;
}

/// Without a timeout, an unresponsive peer would block the fetch forever.
#[test]
fn a_fetch_moves_to_another_peer_after_a_timeout() {
    let mut copy = holder([3]);
    assert!(copy.start_fetch(at(0), 1, 7).is_some());
    assert_eq!(copy.start_fetch(at(400), 2, 7), None);
    let request = copy.start_fetch(at(600), 2, 7);
    assert_eq!(
        request,
        Some(PartRequest {
            revision: 7,
            offset: 0
        })
    );
    let late = holder([7]).part(PartRequest {
        revision: 7,
        offset: 0,
    });
    assert_eq!(copy.handle_part(at(601), 1, &late), FetchStep::None);
    copy.disconnect_peer(2);
    assert!(copy.start_fetch(at(602), 1, 7).is_some());
}

/// A completed fetch must not replace a newer document that arrived from elsewhere.
#[test]
fn a_newer_document_cancels_the_fetch_of_an_older_one() {
    let mut copy = holder([3]);
    let request = copy.start_fetch(at(0), 1, 7).expect("the fetch starts");
    copy.update(document(9));
    assert_eq!(
        copy.handle_part(at(1), 1, &holder([7]).part(request)),
        FetchStep::None
    );
    assert_eq!(copy.revision(), 9);
}

/// A fetch that restarted at each disconnect might never complete on a busy link.
#[test]
fn a_fetch_resumes_with_another_peer_after_a_disconnect() {
    let (mut copy, holder) = (holder([3]), holder([7]));
    let first = copy.start_fetch(at(0), 1, 7).expect("the fetch starts");
    let FetchStep::Request(next) = copy.handle_part(at(1), 1, &holder.part(first)) else {
        panic!("expected a document of several parts");
    };
    copy.disconnect_peer(1);
    assert_eq!(copy.start_fetch(at(2), 2, 7), Some(next));
    let mut request = next;
    let fetched = loop {
        match copy.handle_part(at(3), 2, &holder.part(request)) {
            FetchStep::Request(next) => request = next,
            FetchStep::Complete(fetched) => break fetched.document,
            FetchStep::None => panic!("part was ignored"),
        }
    };
    assert_eq!(fetched, document(7));
}
