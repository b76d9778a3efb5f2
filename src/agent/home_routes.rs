//! Which homes this process answers for, and where those that left went.

use {
    super::home_loop::HomeInput,
    crate::core::ticket::AgentId,
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{Mutex, MutexGuard, PoisonError},
    },
    tokio::sync::{mpsc, watch},
};

/// How to reach a home from here.
#[derive(Debug, Clone)]
pub(crate) enum HomeRoute {
    /// Its loop runs in this process.
    Local(mpsc::UnboundedSender<HomeInput>),
    /// It leaves; its successor's address, once that has taken over.
    Moving(watch::Receiver<Option<SocketAddr>>),
}

/// What became of an offer to take over a home.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Adoption {
    /// It is taken over now.
    New,
    /// It was taken over before: the offer was repeated because its reply was lost.
    AlreadyAdopted,
    /// This process is leaving, too.
    Rejected,
}

#[derive(Debug, Default)]
struct Inner {
    routes: BTreeMap<AgentId, HomeRoute>,
    stopping: bool,
}

/// The homes of one process.
#[derive(Debug, Default)]
pub(crate) struct HomeRoutes(Mutex<Inner>);

impl HomeRoutes {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// How to reach a home, if this process ever answered for it.
    pub(crate) fn route(&self, home: AgentId) -> Option<HomeRoute> {
        self.lock().routes.get(&home).cloned()
    }

    /// Sends the home's requests to this loop from now on.
    pub(crate) fn set_local(&self, home: AgentId, inputs: mpsc::UnboundedSender<HomeInput>) {
        self.lock().routes.insert(home, HomeRoute::Local(inputs));
    }

    /// Takes a home over unless it is known or this process is leaving; `start` runs its loop.
    pub(crate) fn adopt(
        &self,
        home: AgentId,
        start: impl FnOnce() -> mpsc::UnboundedSender<HomeInput>,
    ) -> Adoption {
        let mut inner = self.lock();
        if inner.routes.contains_key(&home) {
            return Adoption::AlreadyAdopted;
        }
        if inner.stopping {
            return Adoption::Rejected;
        }
        inner.routes.insert(home, HomeRoute::Local(start()));
        Adoption::New
    }

    /// Homes whose loops run here.
    pub(crate) fn local_homes(&self) -> Vec<AgentId> {
        self.lock()
            .routes
            .iter()
            .filter(|(_, route)| matches!(route, HomeRoute::Local(_)))
            .map(|(home, _)| *home)
            .collect()
    }

    /// Takes no home over from now on.
    pub(crate) fn stop_adopting(&self) {
        self.lock().stopping = true;
    }

    /// Holds the home's requests back until its successor is known; returns its loop.
    pub(crate) fn start_move(
        &self,
        home: AgentId,
    ) -> Option<(
        mpsc::UnboundedSender<HomeInput>,
        watch::Sender<Option<SocketAddr>>,
    )> {
        let mut inner = self.lock();
        let (moved_to, successor) = watch::channel(None);
        match inner.routes.insert(home, HomeRoute::Moving(successor)) {
            Some(HomeRoute::Local(inputs)) => Some((inputs, moved_to)),
            _ => None,
        }
    }

    /// Forgets a home all of whose tickets are over.
    pub(crate) fn remove(&self, home: AgentId) {
        self.lock().routes.remove(&home);
    }
}
