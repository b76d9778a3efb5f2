//! The identity that a client chooses for its job.

use {
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Digits of an identity in text.
const DIGITS: usize = 16;

/// A job's identity: 16 hexadecimal digits in text, the same for every copy of the job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct JobId(pub(crate) u64);

impl JobId {
    /// Reads the digits; `None` unless there are exactly 16 lower-case ones.
    pub(crate) fn parse(text: &str) -> Option<Self> {
        let is_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        if text.len() != DIGITS || !text.bytes().all(is_digit) {
            return None;
        }
        u64::from_str_radix(text, 16).ok().map(Self)
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
