//! Reasons for ejecting a runner.

use crate::core::verdict::reasons;

reasons! {
    /// Why a runner was ejected.
    EjectionReason {
        /// Several consecutive tasks failed.
        Failing => "failing",
        /// Several tasks since the last success took much longer than usual for their service.
        Slow => "slow",
    }
}
