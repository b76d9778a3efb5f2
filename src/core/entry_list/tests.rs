//! Tests of the list of entries.

use {
    super::{EntryList, EntryListChange, EntryListReplica},
    proptest::{collection::vec, prelude::*},
    std::{collections::BTreeSet, net::SocketAddr},
};

const ENTRIES: u16 = 6;

fn addr(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn change() -> impl Strategy<Value = EntryListChange> {
    (0..ENTRIES, any::<bool>()).prop_map(|(port, is_listed)| EntryListChange {
        entry: addr(port),
        is_listed,
    })
}

proptest! {
    /// A copy that follows the changes must equal a list that was read after them, or agents would
    /// miss entries until their next full read.
    #[test]
    fn followed_changes_lead_to_the_same_list_as_a_read(
        initial in vec(0..ENTRIES, 0..6),
        changes in vec(change(), 0..20),
        split in 0..20_usize,
    ) {
        let mut stored: BTreeSet<SocketAddr> = initial.iter().copied().map(addr).collect();
        let mut list = EntryList::default();
        list.replace(stored.iter().copied());
        for change in &changes {
            if change.is_listed {
                stored.insert(change.entry);
            } else {
                stored.remove(&change.entry);
            }
        }
        let (first, second) = changes.split_at(split.min(changes.len()));
        list.apply(first);
        list.apply(second);
        prop_assert_eq!(list.entries(), stored.into_iter().collect::<Vec<_>>());
    }

    /// A feed may deliver changes a second time.
    #[test]
    fn repeated_changes_have_no_effect(changes in vec(change(), 0..20)) {
        let mut list = EntryList::default();
        list.apply(&changes);
        let entries = list.entries();
        prop_assert!(!list.apply(&changes));
        prop_assert_eq!(list.entries(), entries);
    }
}

/// An agent must come back to each replica, however many of them are unavailable.
#[test]
fn replicas_are_used_in_turn() {
    let [first, ..] = EntryListReplica::ALL;
    let replicas = EntryListReplica::ALL.map(EntryListReplica::number);
    let mut replica = first;
    let in_turn = replicas.map(|_| {
        let number = replica.number();
        replica = replica.next();
        number
    });
    assert_eq!(in_turn, replicas);
    assert_eq!(replica, first);
}
