//! Tests of a home's way to its successor.

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

/// A successor, or the connection to it, that answers each offer as told.
#[derive(Debug)]
struct ScriptedSuccessor(Mutex<VecDeque<Result<PeerReply, PeerError>>>);

#[async_trait]
impl PeerNetwork for ScriptedSuccessor {
    async fn call(&self, _: SocketAddr, request: PeerRequest) -> Result<PeerReply, PeerError> {
        assert!(matches!(request, PeerRequest::Adopt(records) if records.home == HOME));
        let mut script = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        script.pop_front().expect("one more offer than scripted")
    }

    async fn open_session(
        &self,
        _: SocketAddr,
        _: AgentId,
        _: u64,
    ) -> Result<SessionIo, PeerError> {
        Err(PeerError::Unreachable("no sessions here".to_owned()))
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
    Err(PeerError::Lost("cut".to_owned()))
}

fn unreachable() -> Result<PeerReply, PeerError> {
    Err(PeerError::Unreachable("refused".to_owned()))
}

/// A home is offered to a successor and the connection fails at different moments. If another
/// successor were asked, or the home went on here, after an offer that may have arrived, two
/// processes would answer for one ticket and a share would be paid twice. Only an offer that was
/// surely not taken may be followed by another one elsewhere.
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
                assert_eq!(unused_replies, 0, "offers too few");
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

/// The reply to an offer is lost and the offer is made again: the home must not be started twice.
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

/// A home moves on: requests must wait for its successor and not reach its old loop.
#[test]
fn moving_home_gets_no_requests() {
    let homes = HomeRoutes::default();
    homes.set_local(HOME, mpsc::unbounded_channel().0);
    assert!(homes.start_move(HOME).is_some());
    assert!(matches!(homes.route(HOME), Some(HomeRoute::Moving(_))));
    assert!(homes.local_homes().is_empty());
    assert!(homes.start_move(HOME).is_none(), "it moves once");
}
