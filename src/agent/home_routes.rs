//! Routes to the homes that this process owns or has handed over.

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

/// Where requests for a home go.
#[derive(Debug, Clone)]
pub(crate) enum HomeRoute {
    /// To the home's loop in this process.
    Local(mpsc::UnboundedSender<HomeInput>),
    /// To the successor, whose address is set once it has adopted the home.
    Moving(watch::Receiver<Option<SocketAddr>>),
}

/// Outcome of a request to adopt a home.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Adoption {
    New,
    /// The offer was repeated because its reply was lost.
    AlreadyAdopted,
    /// This process is stopping.
    Rejected,
}

#[derive(Debug, Default)]
struct Inner {
    routes: BTreeMap<AgentId, HomeRoute>,
    stopping: bool,
}

/// Routes of one process, by home.
#[derive(Debug, Default)]
pub(crate) struct HomeRoutes(Mutex<Inner>);

impl HomeRoutes {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the route of a home that this process owns or has handed over.
    pub(crate) fn route(&self, home: AgentId) -> Option<HomeRoute> {
        self.lock().routes.get(&home).cloned()
    }

    /// Routes the home's requests to a loop in this process.
    pub(crate) fn set_local(&self, home: AgentId, inputs: mpsc::UnboundedSender<HomeInput>) {
        self.lock().routes.insert(home, HomeRoute::Local(inputs));
    }

    /// Adopts a home unless it already has a route or this process is stopping; `start` starts its loop.
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

    /// Returns the homes whose loops run in this process.
    pub(crate) fn local_homes(&self) -> Vec<AgentId> {
        self.lock()
            .routes
            .iter()
            .filter(|(_, route)| matches!(route, HomeRoute::Local(_)))
            .map(|(home, _)| *home)
            .collect()
    }

    /// Rejects later requests to adopt a home.
    pub(crate) fn stop_adopting(&self) {
        self.lock().stopping = true;
    }

    /// Delays the home's requests until its successor is known. Returns the input of its loop and the
    /// sender of the successor's address.
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

    /// Removes the route of a finished home.
    pub(crate) fn remove(&self, home: AgentId) {
        self.lock().routes.remove(&home);
    }
}
