//! Reasons for which a runner is left alone.

use crate::core::verdict::reasons;

reasons! {
    /// Why a runner is left alone for a while.
    EjectionReason {
        /// Its tasks failed, one after the other.
        Failing => "failing",
        /// Its tasks took longer than most take elsewhere, one after the other.
        Slow => "slow",
    }
}
