//! Tests of a configuration that another entry passes on.

use {
    super::{FakePlatform, NoMetrics, PausedTimer, document, in_virtual_time, keeper},
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

/// Peers on a narrow link: the document takes two seconds.
#[derive(Debug)]
struct NarrowNetwork;

#[async_trait]
impl PeerNetwork for NarrowNetwork {
    async fn call(&self, _: SocketAddr, _: PeerRequest) -> Result<PeerReply, PeerError> {
        tokio::time::sleep(Duration::from_secs(2)).await;
        let head = Head {
            version: 1,
            ..Head::default()
        };
        let passed_on = (head, document([1, 1, 1, 1]));
        Ok(PeerReply::Configuration(Some(passed_on)))
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

/// Guards against a document that is fetched over and over because it takes longer than a digest may.
#[test]
fn a_document_that_arrives_slowly_is_taken_in() {
    in_virtual_time(async {
        let keeper = keeper(&FakePlatform::new(1));
        let exchange = DigestExchange {
            state: Arc::clone(&keeper.state),
            keeper: Arc::clone(&keeper),
            network: Arc::new(NarrowNetwork),
            timer: Arc::new(PausedTimer(tokio::time::Instant::now())),
            metrics: Arc::new(NoMetrics),
            under_way: Mutex::default(),
            fetching: tokio::sync::Mutex::default(),
        };
        exchange
            .fetch_configuration(([127, 0, 0, 1], 2).into())
            .await;
        let held = keeper.state.in_force().expect("a configuration");
        assert_eq!(held.head.version, 1);
    });
}
