//! Tests of restoring the worker's view.

use {
    crate::{
        core::{
            execution::ExecutionEvent,
            work::{Resources, WorkerIncarnation, WorkerView},
        },
        ports::EntryListStore,
        site_agent::{execution_loop::LoopInput, worker_view_store::WorkerViewStore},
    },
    std::{sync::Arc, time::Duration},
    tokio::{
        sync::{mpsc, watch},
        time::sleep,
    },
};

fn view() -> WorkerView {
    WorkerView {
        life: WorkerIncarnation {
            id: "w".to_owned(),
            born_unix_ms: 1,
        },
        service: "shares".to_owned(),
        availability_zone: "north".to_owned(),
        capacity: Resources::default(),
        labels: Vec::new(),
        draining: false,
    }
}

/// A store that holds a view and is down, and the inputs and the sender of newer views of an agent that
/// has just started.
fn agent_without_store() -> (
    Arc<EntryListStore>,
    mpsc::UnboundedReceiver<LoopInput>,
    watch::Sender<Option<WorkerView>>,
) {
    let store = Arc::new(EntryListStore::default());
    store.state().worker = Some(view());
    store.state().is_down = true;
    let (inputs, receiver) = mpsc::unbounded_channel();
    let (views, newest_view) = watch::channel(None);
    let worker_view_store = WorkerViewStore {
        store: Arc::clone(&store) as _,
        agent: "agent-1".to_owned(),
        inputs,
    };
    tokio::spawn(worker_view_store.run(newest_view));
    (store, receiver, views)
}

/// An agent that starts a moment before the store can be reached would have no worker until the
/// worker's next report.
#[tokio::test(start_paused = true)]
async fn the_view_is_restored_although_the_first_reads_fail() {
    let (store, mut inputs, _views) = agent_without_store();
    sleep(Duration::from_millis(400)).await;
    assert!(inputs.try_recv().is_err());
    store.state().is_down = false;
    sleep(Duration::from_millis(500)).await;
    let restored = inputs.try_recv().expect("a restored view");
    assert!(matches!(
        restored,
        LoopInput::Event(ExecutionEvent::WorkerRestored { .. })
    ));
}

/// Reads of a store that stays down must end.
#[tokio::test(start_paused = true)]
async fn reads_end_if_the_store_stays_down() {
    let (store, _inputs, _views) = agent_without_store();
    sleep(Duration::from_secs(60)).await;
    assert_eq!(store.state().calls, 8);
}

/// A worker that has reported needs no stored view.
#[tokio::test(start_paused = true)]
async fn reads_end_when_the_worker_reports() {
    let (store, mut inputs, views) = agent_without_store();
    views.send_replace(Some(view()));
    sleep(Duration::from_secs(1)).await;
    store.state().is_down = false;
    sleep(Duration::from_secs(10)).await;
    assert!(inputs.try_recv().is_err());
    assert!(store.state().calls <= 2);
}
