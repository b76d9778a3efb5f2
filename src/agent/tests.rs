//! Tests of a home's way to its successor.

#![allow(
    clippy::expect_used,
    reason = "a test that cannot go on must fail loudly"
)]

use {
    super::{
        hand_over::{Offer, offer},
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
struct Successor(Mutex<VecDeque<Result<PeerReply, PeerError>>>);

#[async_trait]
impl PeerNetwork for Successor {
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

fn lost() -> Result<PeerReply, PeerError> {
    Err(PeerError::OutcomeUnknown("cut".to_owned()))
}

fn unreachable() -> Result<PeerReply, PeerError> {
    Err(PeerError::Unreachable("refused".to_owned()))
}

/// A home is offered to a successor and the connection fails at different moments. If another
/// successor were asked, or the home went on here, after an offer that may have arrived, two
/// processes would answer for one ticket and a share would be paid twice. Only an offer that was
/// surely not taken may be followed by another one elsewhere.
macro_rules! offer_cases {
    ($($name:ident: [$($reply:expr),+] => $expected:ident;)+) => {
        $(
            #[tokio::test(start_paused = true)]
            async fn $name() {
                let successor = Successor(Mutex::new(VecDeque::from([$($reply),+])));
                let to = SocketAddr::from(([127, 0, 0, 1], 1));
                let started_at = tokio::time::Instant::now();
                let in_time = || started_at.elapsed().as_millis() < 30;
                let offer = offer(&successor, to, &records(), in_time).await;
                assert_eq!(offer, Offer::$expected);
                let left = successor.0.lock().unwrap_or_else(PoisonError::into_inner).len();
                assert_eq!(left, 0, "offers too few");
            }
        )+
    };
}

offer_cases! {
    a_taken_offer_is_known: [Ok(PeerReply::Adopted)] => Taken;
    an_offer_that_is_refused_may_go_elsewhere: [Ok(PeerReply::Unsupported)] => Refused;
    an_offer_that_was_not_sent_may_go_elsewhere: [unreachable()] => Refused;
    a_lost_reply_is_followed_by_the_same_offer: [lost(), Ok(PeerReply::Adopted)] => Taken;
    an_offer_that_may_have_arrived_stays_there: [lost(), unreachable(), lost()] => Unknown;
    a_refusal_after_a_lost_reply_is_no_proof: [lost(), Ok(PeerReply::Unsupported), lost()] => Unknown;
}

/// The reply to an offer is lost and the offer is made again: the home must not be started twice.
#[test]
fn a_repeated_offer_is_recognised() {
    let homes = HomeRoutes::default();
    let inputs = || mpsc::unbounded_channel().0;
    assert_eq!(homes.adopt(HOME, inputs), Adoption::New);
    assert_eq!(
        homes.adopt(HOME, || panic!("started twice")),
        Adoption::Known
    );
    homes.stop_adopting();
    assert_eq!(
        homes.adopt(HOME, || panic!("started twice")),
        Adoption::Known
    );
    assert_eq!(
        homes.adopt(AgentId(4), || panic!("leaving")),
        Adoption::Refused
    );
}

/// A home moves on: requests must wait for its successor and not reach its old loop.
#[test]
fn a_moving_home_takes_no_requests() {
    let homes = HomeRoutes::default();
    homes.set_here(HOME, mpsc::unbounded_channel().0);
    assert!(homes.start_move(HOME).is_some());
    assert!(matches!(homes.route(HOME), Some(HomeRoute::Moving(_))));
    assert!(homes.here().is_empty());
    assert!(homes.start_move(HOME).is_none(), "it moves once");
}
