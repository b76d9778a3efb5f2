//! Hand-over of a home to its successor.

#![allow(
    clippy::expect_used,
    reason = "a test that cannot go on must fail loudly"
)]

use {
    super::{
        hand_over::{HandOverOutcome, offer_home},
        home_routes::{Adoption, HomeRoute, HomeRoutes},
    },
    crate::{
        core::{
            home::{Home, HomeRecords, HomeSettings},
            message::{PeerReply, PeerRequest},
            placement::MostFree,
            ticket::{AgentId, GrantSecret},
            time::Instant,
        },
        ports::{PeerError, PeerNetwork, SessionIo},
    },
    async_trait::async_trait,
    std::{
        collections::VecDeque,
        net::SocketAddr,
        sync::{Mutex, PoisonError},
    },
    tokio::sync::mpsc,
};

const HOME: AgentId = AgentId(3);

/// A successor whose replies and connection errors are scripted, one per offer.
#[derive(Debug)]
struct ScriptedSuccessor(Mutex<VecDeque<Result<PeerReply, PeerError>>>);

#[async_trait]
impl PeerNetwork for ScriptedSuccessor {
    async fn call(&self, _: SocketAddr, request: PeerRequest) -> Result<PeerReply, PeerError> {
        assert!(matches!(request, PeerRequest::Adopt(records) if records.home == HOME));
        let mut script = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        script
            .pop_front()
            .expect("more offers than scripted replies")
    }

    async fn open_session(
        &self,
        _: SocketAddr,
        _: AgentId,
        _: u64,
    ) -> Result<SessionIo, PeerError> {
        Err(PeerError::Unreachable(
            "sessions are not scripted".to_owned(),
        ))
    }
}

fn records() -> HomeRecords {
    let settings = HomeSettings {
        ticket_ttl_ms: 600_000,
        answers_limit_bytes: 1 << 20,
        runner_lost_after_ms: 5_000,
    };
    let secret = GrantSecret::new([1; 32]);
    let mut home = Home::new(HOME, secret, settings, Box::new(MostFree::new(1)));
    home.hand_over(Instant::default()).0
}

fn connection_lost() -> Result<PeerReply, PeerError> {
    Err(PeerError::OutcomeUnknown("connection cut".to_owned()))
}

fn unreachable() -> Result<PeerReply, PeerError> {
    Err(PeerError::Unreachable("refused".to_owned()))
}

/// After an offer that may have arrived, the home must not be offered to another successor or
/// resumed locally: two processes would own it and could run its tasks twice.
macro_rules! hand_over_cases {
    ($($name:ident: [$($reply:expr),+] => $expected:ident;)+) => {
        $(
            #[tokio::test(start_paused = true)]
            async fn $name() {
                let successor = ScriptedSuccessor(Mutex::new(VecDeque::from([$($reply),+])));
                let to = SocketAddr::from(([127, 0, 0, 1], 1));
                let started_at = tokio::time::Instant::now();
                let is_before_deadline = || started_at.elapsed().as_millis() < 30;
                let outcome = offer_home(&successor, to, &records(), is_before_deadline).await;
                assert_eq!(outcome, HandOverOutcome::$expected);
                let unused_replies = successor.0.lock().unwrap_or_else(PoisonError::into_inner).len();
                assert_eq!(unused_replies, 0, "unused scripted replies");
            }
        )+
    };
}

hand_over_cases! {
    adopted_reply_accepts_the_home: [Ok(PeerReply::Adopted)] => Accepted;
    rejected_offer_may_go_to_another_successor: [Ok(PeerReply::Unsupported)] => Rejected;
    unsent_offer_may_go_to_another_successor: [unreachable()] => Rejected;
    lost_reply_repeats_the_offer: [connection_lost(), Ok(PeerReply::Adopted)] => Accepted;
    offer_that_may_have_arrived_goes_to_no_other_successor: [connection_lost(), unreachable(), connection_lost()] => Unknown;
    rejection_after_a_lost_reply_is_inconclusive: [connection_lost(), Ok(PeerReply::Unsupported), connection_lost()] => Unknown;
}

/// A home whose offer is repeated after a lost reply must not be started twice.
#[test]
fn repeated_offer_starts_the_home_once() {
    let homes = HomeRoutes::default();
    let inputs = || mpsc::unbounded_channel().0;
    assert_eq!(homes.adopt(HOME, inputs), Adoption::New);
    assert_eq!(
        homes.adopt(HOME, || panic!("started twice")),
        Adoption::AlreadyAdopted
    );
    homes.stop_adopting();
    assert_eq!(
        homes.adopt(HOME, || panic!("started twice")),
        Adoption::AlreadyAdopted
    );
    assert_eq!(
        homes.adopt(AgentId(4), || panic!("leaving")),
        Adoption::Rejected
    );
}

/// Requests for a moving home must wait for its successor and not reach the old loop.
#[test]
fn moving_home_gets_no_requests() {
    let homes = HomeRoutes::default();
    homes.set_local(HOME, mpsc::unbounded_channel().0);
    assert!(homes.start_move(HOME).is_some());
    assert!(matches!(homes.route(HOME), Some(HomeRoute::Moving(_))));
    assert!(homes.local_homes().is_empty());
    assert!(homes.start_move(HOME).is_none(), "a home moves only once");
}
