//! Starts home loops.

use {
    super::home_loop::{HomeInput, HomeLoop},
    crate::{
        conf::PlacementSetting,
        core::{
            home::{Home, HomeRecords, HomeSettings},
            placement::{MostFree, Placement, RandomWorker},
            ticket::{AgentId, GrantSecret},
        },
        ports::{Metrics, PeerNetwork, TimerService},
    },
    rand::RngExt,
    std::{collections::BTreeMap, sync::Arc},
    tokio::{
        sync::mpsc::{self, UnboundedSender},
        task::JoinHandle,
    },
};

/// Dependencies and settings shared by all homes of this process.
#[derive(Debug)]
pub(crate) struct HomeStarter {
    pub(crate) network: Arc<dyn PeerNetwork>,
    pub(crate) timer: Arc<dyn TimerService>,
    pub(crate) metrics: Arc<dyn Metrics>,
    pub(crate) settings: HomeSettings,
    pub(crate) placement: PlacementSetting,
}

impl HomeStarter {
    /// Starts the agent's own home.
    pub(crate) fn start_own(&self, id: AgentId) -> UnboundedSender<HomeInput> {
        let secret = GrantSecret::new(rand::rng().random());
        let home = Home::new(id, secret, self.settings, self.placement());
        self.start(home, false).0
    }

    /// Starts an adopted home from its records; its loop ends when the home is finished.
    pub(crate) fn start_adopted(
        &self,
        records: HomeRecords,
    ) -> (UnboundedSender<HomeInput>, JoinHandle<()>) {
        let home = Home::adopt(self.timer.now(), records, self.settings, self.placement());
        self.start(home, true)
    }

    fn start(&self, home: Home, adopted: bool) -> (UnboundedSender<HomeInput>, JoinHandle<()>) {
        let (inputs, received) = mpsc::unbounded_channel();
        let home_loop = HomeLoop {
            home,
            adopted,
            network: Arc::clone(&self.network),
            timer: Arc::clone(&self.timer),
            metrics: Arc::clone(&self.metrics),
            inputs: inputs.clone(),
            waiters: BTreeMap::new(),
            sessions: BTreeMap::new(),
            next_waiter: 0,
            ended: false,
        };
        (inputs, tokio::spawn(home_loop.run(received)))
    }

    fn placement(&self) -> Box<dyn Placement> {
        let seed = rand::rng().random();
        match self.placement {
            PlacementSetting::MostFree => Box::new(MostFree::new(seed)),
            PlacementSetting::Random => Box::new(RandomWorker::new(seed)),
        }
    }
}
