//! Tests of configurations forwarded by other entries.

use {
    super::{FakePlatform, NoMetrics, PausedTimer, config_store, document, in_virtual_time},
    crate::{
        core::{
            config::Head,
            message::{PeerReply, PeerRequest},
            ticket::AgentId,
        },
        entry::digest_exchange::DigestExchange,
        ports::{PeerError, PeerNetwork, SessionIo},
    },
    async_trait::async_trait,
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
};

/// A slow link: fetching the document takes two seconds.
#[derive(Debug)]
struct SlowNetwork;

#[async_trait]
impl PeerNetwork for SlowNetwork {
    async fn call(&self, _: SocketAddr, _: PeerRequest) -> Result<PeerReply, PeerError> {
        tokio::time::sleep(Duration::from_secs(2)).await;
        let head = Head {
            version: 1,
            ..Head::default()
        };
        let configuration = (head, document([1, 1, 1, 1]));
        Ok(PeerReply::Configuration(Some(configuration)))
    }

    async fn open_session(
        &self,
        _: SocketAddr,
        _: AgentId,
        _: u64,
    ) -> Result<SessionIo, PeerError> {
        Err(PeerError::Unreachable("no sessions".to_owned()))
    }
}

/// A fetch that exceeds the timeout of digests must not be aborted and repeated forever.
#[test]
fn a_slowly_fetched_document_is_applied() {
    in_virtual_time(async {
        let store = config_store(&FakePlatform::new(1));
        let exchange = DigestExchange {
            state: Arc::clone(&store.state),
            config_store: Arc::clone(&store),
            network: Arc::new(SlowNetwork),
            timer: Arc::new(PausedTimer(tokio::time::Instant::now())),
            metrics: Arc::new(NoMetrics),
            in_flight: Mutex::default(),
            fetch_lock: tokio::sync::Mutex::default(),
        };
        exchange
            .fetch_configuration(([127, 0, 0, 1], 2).into())
            .await;
        let in_force = store.state.in_force().expect("a configuration");
        assert_eq!(in_force.head.version, 1);
    });
}
