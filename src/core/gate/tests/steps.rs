//! Steps of the simulation and strategies that generate them.

use proptest::prelude::*;

/// One event of the simulation. Messages progress in stages so that events can interleave: a poll
/// has scan and head, a change has write and reply, a query has request, response and arrival.
#[derive(Debug, Clone)]
pub(super) enum Step {
    Advance {
        ms: u64,
    },
    Poll {
        entry: usize,
    },
    Query {
        from: usize,
        to: usize,
    },
    Change {
        entry: usize,
        open: bool,
    },
    Progress {
        message: usize,
    },
    DropMessage {
        message: usize,
    },
    SetPlatformDown {
        down: bool,
    },
    Partition {
        entry: usize,
        partitioned: bool,
    },
    Pause {
        entry: usize,
        paused: bool,
    },
    Kill {
        entry: usize,
    },
    Join,
    RemoveRow {
        entry: usize,
    },
    /// The entry rewrites its row; `acknowledged` if the reply arrives.
    WriteRow {
        entry: usize,
        acknowledged: bool,
    },
    /// A poll without delay.
    PollNow {
        entry: usize,
    },
    /// A query and its reply without delay.
    QueryNow {
        from: usize,
        to: usize,
    },
    /// A change whose write takes effect without delay; its reply is still pending.
    ChangeNow {
        entry: usize,
        open: bool,
    },
    /// Every entry polls the platform and queries all others, without delay.
    Synchronize,
}

/// Any steps in any order.
pub(super) fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        6 => (50_u64..1_200).prop_map(|ms| Step::Advance { ms }),
        4 => (1_500_u64..5_000).prop_map(|ms| Step::Advance { ms }),
        1 => (20_000_u64..40_000).prop_map(|ms| Step::Advance { ms }),
        4 => (0_usize..4).prop_map(|entry| Step::Poll { entry }),
        6 => (0_usize..4, 0_usize..4).prop_map(|(from, to)| Step::Query { from, to }),
        5 => (0_usize..4, prop::bool::weighted(0.2)).prop_map(|(entry, open)| Step::Change { entry, open }),
        14 => (0_usize..8).prop_map(|message| Step::Progress { message }),
        2 => (0_usize..8).prop_map(|message| Step::DropMessage { message }),
        2 => prop::bool::weighted(0.3).prop_map(|down| Step::SetPlatformDown { down }),
        1 => (0_usize..4, any::<bool>()).prop_map(|(entry, partitioned)| Step::Partition { entry, partitioned }),
        1 => (0_usize..4, any::<bool>()).prop_map(|(entry, paused)| Step::Pause { entry, paused }),
        1 => (0_usize..4).prop_map(|entry| Step::Kill { entry }),
        3 => (0_usize..4, any::<bool>())
            .prop_map(|(entry, acknowledged)| Step::WriteRow { entry, acknowledged }),
        6 => (0_usize..4).prop_map(|entry| Step::PollNow { entry }),
        6 => (0_usize..4, 0_usize..4).prop_map(|(from, to)| Step::QueryNow { from, to }),
        6 => (0_usize..4, prop::bool::weighted(0.2)).prop_map(|(entry, open)| Step::ChangeNow { entry, open }),
        4 => Just(Step::Join),
        2 => (0_usize..4).prop_map(|entry| Step::RemoveRow { entry }),
        2 => Just(Step::Synchronize),
    ];
    prop::collection::vec(step, 1..100)
}

/// Steps without message delays in which entries join, are removed and are partitioned.
pub(super) fn membership_changes() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        5 => (500_u64..4_000).prop_map(|ms| Step::Advance { ms }),
        1 => (0_usize..3, any::<bool>())
            .prop_map(|(entry, acknowledged)| Step::WriteRow { entry, acknowledged }),
        4 => (0_usize..3).prop_map(|entry| Step::PollNow { entry }),
        2 => (0_usize..3, 0_usize..3).prop_map(|(from, to)| Step::QueryNow { from, to }),
        3 => (0_usize..3).prop_map(|entry| Step::ChangeNow { entry, open: false }),
        1 => (0_usize..3).prop_map(|entry| Step::Partition { entry, partitioned: true }),
        1 => Just(Step::SetPlatformDown { down: true }),
        1 => Just(Step::SetPlatformDown { down: false }),
        3 => Just(Step::Join),
        3 => (0_usize..3).prop_map(|entry| Step::RemoveRow { entry }),
    ];
    prop::collection::vec(step, 4..16)
}
