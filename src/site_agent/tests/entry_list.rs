//! Tests of following the list of entries.

use {
    crate::ports::{EntryListStore, SiteStore},
    crate::site_agent::{
        entry_list_watcher::EntryListWatcher, stale_entry_remover::StaleEntryRemover,
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{sync::mpsc, time::sleep},
};

fn addr(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, (number >> 8) as u8, number as u8], 7_000))
}

/// A store with this many entries, and the lists that an agent's watcher sends.
fn watched_store(
    entries: u16,
) -> (
    Arc<EntryListStore>,
    mpsc::UnboundedReceiver<Vec<SocketAddr>>,
) {
    let store = Arc::new(EntryListStore::default());
    for number in 0..entries {
        store.change(addr(number), true);
    }
    let (lists, receiver) = mpsc::unbounded_channel();
    let watched: Arc<dyn SiteStore> = Arc::clone(&store) as _;
    tokio::spawn(EntryListWatcher::new(watched, vec![addr(u16::MAX)], lists).run());
    (store, receiver)
}

async fn wait_s(seconds: u64) {
    sleep(Duration::from_secs(seconds)).await;
}

fn newest(lists: &mut mpsc::UnboundedReceiver<Vec<SocketAddr>>) -> Option<Vec<SocketAddr>> {
    std::iter::from_fn(|| lists.try_recv().ok()).last()
}

/// Rows that one agent reads in a minute with this many changes.
async fn rows_read(entries: u16, changes: u16) -> usize {
    let (store, mut lists) = watched_store(entries);
    wait_s(1).await;
    for number in 0..changes {
        store.change(addr(entries + number), true);
        wait_s(2).await;
    }
    wait_s(u64::from(60 - 2 * changes)).await;
    assert_eq!(newest(&mut lists), Some(store.entries()));
    let state = store.state();
    state.rows_read
}

/// If each change made each agent read the whole list, the bytes read would grow with entries times
/// agents times changes.
#[tokio::test(start_paused = true)]
async fn a_change_costs_an_agent_one_row_whatever_the_length_of_the_list() {
    for entries in [50, 100, 200, 400] {
        for changes in [0, 10, 20] {
            let rows = rows_read(entries, changes).await;
            assert_eq!(rows, usize::from(entries + changes), "{entries} entries");
        }
    }
}

/// Calls of agents add up; they must not depend on how often the list changes.
#[tokio::test(start_paused = true)]
async fn many_changes_at_a_time_cost_an_agent_two_calls_a_second() {
    let (store, _lists) = watched_store(100);
    wait_s(1).await;
    let before = store.state().calls;
    for number in 0..1_000 {
        store.change(addr(100 + number), true);
        sleep(Duration::from_millis(10)).await;
    }
    let calls = store.state().calls - before;
    assert!(calls <= 25, "{calls} calls in 10 s");
}

/// When the store comes back, all agents would read the whole list at the same time.
#[tokio::test(start_paused = true)]
async fn changes_during_an_outage_are_followed_without_reading_the_whole_list() {
    let (store, mut lists) = watched_store(200);
    wait_s(1).await;
    store.state().is_down = true;
    store.change(addr(300), true);
    wait_s(4).await;
    store.state().is_down = false;
    wait_s(2).await;
    assert_eq!(newest(&mut lists), Some(store.entries()));
    let rows = store.state().rows_read;
    assert_eq!(rows, 201);
}

#[tokio::test(start_paused = true)]
async fn the_list_is_read_again_after_the_history_was_discarded() {
    let (store, mut lists) = watched_store(20);
    wait_s(1).await;
    store.state().is_down = true;
    wait_s(6).await;
    store.change(addr(0), false);
    store.discard_history();
    store.state().is_down = false;
    wait_s(4).await;
    assert_eq!(newest(&mut lists), Some(store.entries()));
}

/// An agent that starts while the store is down must not wait for it.
#[tokio::test(start_paused = true)]
async fn seeds_are_used_until_the_list_can_be_read() {
    let (store, mut lists) = watched_store(20);
    store.state().is_down = true;
    wait_s(1).await;
    assert_eq!(newest(&mut lists), Some(vec![addr(u16::MAX)]));
    store.state().is_down = false;
    wait_s(2).await;
    assert_eq!(newest(&mut lists), Some(store.entries()));
}

/// Three reads without a response would take more than a second.
#[tokio::test(start_paused = true)]
async fn seeds_are_used_soon_if_the_store_does_not_respond() {
    let (store, mut lists) = watched_store(20);
    store.state().is_unresponsive = true;
    sleep(Duration::from_millis(200)).await;
    assert_eq!(newest(&mut lists), None);
    sleep(Duration::from_millis(60)).await;
    assert_eq!(newest(&mut lists), Some(vec![addr(u16::MAX)]));
    store.state().is_unresponsive = false;
    wait_s(2).await;
    assert_eq!(newest(&mut lists), Some(store.entries()));
}

#[tokio::test(start_paused = true)]
async fn a_removed_entry_leaves_the_lists_of_agents() {
    let (store, mut lists) = watched_store(20);
    wait_s(1).await;
    let remover = StaleEntryRemover {
        store: Arc::clone(&store) as _,
    };
    Arc::new(remover).remove(addr(7)).await;
    wait_s(1).await;
    let list = newest(&mut lists).expect("a list");
    assert_eq!(list, store.entries());
    assert!(!list.contains(&addr(7)));
}

/// An agent that missed a change, for example while it switched to another replica, must not lack the
/// entry for good.
#[tokio::test(start_paused = true)]
async fn a_missed_change_is_corrected_by_a_later_read() {
    let (store, mut lists) = watched_store(20);
    store.change(addr(300), true);
    wait_s(1).await;
    store.change(addr(301), true);
    store.omit_newest_change();
    wait_s(60).await;
    assert!(newest(&mut lists).is_some_and(|list| !list.contains(&addr(301))));
    wait_s(20 * 60).await;
    assert_eq!(newest(&mut lists), Some(store.entries()));
}
