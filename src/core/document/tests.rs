//! Tests of how a copy of the document is fetched.

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
        .for_each(|revision| copy.hold(document(revision)));
    copy
}

/// Fetches from a holder until nothing more is to be asked for.
fn fetch(
    copy: &mut DocumentCopy<u8>,
    holder: &DocumentCopy<u8>,
    revision: u64,
) -> Option<Document> {
    let mut request = copy.begin_fetch(at(0), 1, revision)?;
    loop {
        match copy.take_part(at(1), 1, &holder.part(request)) {
            FetchStep::Ask(next) => request = next,
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
    a_newer_document_is_fetched_whole: [3], [7], 7 => Some(7);
    a_document_that_is_held_is_not_fetched: [7], [7], 7 => None;
    /// Guards against a peer that changes on while it is asked: what was begun is finished.
    the_document_before_the_newest_is_still_given: [3], [7, 9], 7 => Some(7);
    a_document_that_is_held_no_more_is_given_up: [3], [7, 9, 12], 7 => None;
}

/// Guards against a fetch that waits for ever on a peer that has fallen silent.
#[test]
fn another_peer_is_asked_after_a_silent_one() {
    let mut copy = holder([3]);
    assert!(copy.begin_fetch(at(0), 1, 7).is_some());
    assert_eq!(copy.begin_fetch(at(400), 2, 7), None);
    let request = copy.begin_fetch(at(600), 2, 7);
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
    assert_eq!(copy.take_part(at(601), 1, &late), FetchStep::None);
    copy.lose_peer(2);
    assert!(copy.begin_fetch(at(602), 1, 7).is_some());
}

/// Guards against a fetch that would put an older document in the place of one that came another way.
#[test]
fn a_newer_document_ends_the_fetch_of_an_older_one() {
    let mut copy = holder([3]);
    let request = copy.begin_fetch(at(0), 1, 7).expect("a request");
    copy.hold(document(9));
    assert_eq!(
        copy.take_part(at(1), 1, &holder([7]).part(request)),
        FetchStep::None
    );
    assert_eq!(copy.revision(), 9);
}

/// Guards against a fetch that begins anew with each peer that is lost, and never ends on a link that is busy.
#[test]
fn a_fetch_goes_on_with_another_peer() {
    let (mut copy, holder) = (holder([3]), holder([7]));
    let first = copy.begin_fetch(at(0), 1, 7).expect("a request");
    let FetchStep::Ask(next) = copy.take_part(at(1), 1, &holder.part(first)) else {
        panic!("more than one part");
    };
    copy.lose_peer(1);
    assert_eq!(copy.begin_fetch(at(2), 2, 7), Some(next));
    let mut request = next;
    let fetched = loop {
        match copy.take_part(at(3), 2, &holder.part(request)) {
            FetchStep::Ask(next) => request = next,
            FetchStep::Complete(fetched) => break fetched.document,
            FetchStep::None => panic!("a part is refused"),
        }
    };
    assert_eq!(fetched, document(7));
}
