//! Reasons for ejecting a runner.

use crate::core::verdict::reasons;

reasons! {
    /// Why a runner was ejected.
    EjectionReason {
        /// Several consecutive tasks failed.
        Failing => "failing",
        /// Several consecutive tasks took much longer than on other runners.
        Slow => "slow",
    }
}
