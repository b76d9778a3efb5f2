//! Tests of an entry's place on the list of entries.

use {
    super::fakes::{NoopDecisionLog, NoopMetrics},
    crate::{
        core::entry_list::EntryListReplica, ports::EntryListStore,
        site_entry::entry_registration::EntryRegistration,
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// An agent may remove an entry that it could not reach for long; new agents would not find it.
#[tokio::test(start_paused = true)]
async fn an_entry_that_was_removed_adds_itself_again() {
    let store = Arc::new(EntryListStore::default());
    let entry = SocketAddr::from(([10, 0, 0, 1], 7_000));
    let registration = Arc::new(EntryRegistration {
        store: Arc::clone(&store) as _,
        decisions: Arc::new(NoopDecisionLog),
        metrics: Arc::new(NoopMetrics),
        entry,
    });
    let [replica, ..] = EntryListReplica::ALL;
    tokio::spawn(registration.maintain(replica));
    sleep(Duration::from_secs(1)).await;
    assert_eq!(store.entries(), [entry]);
    store.change(entry, false);
    sleep(Duration::from_secs(80)).await;
    assert_eq!(store.entries(), [entry]);
}
