//! Job identifier chosen by the client.

use {
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Number of digits in the text form.
const DIGITS: usize = 16;

/// Identifies a job; the same in every copy of the job, 16 hexadecimal digits as text.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct JobId(pub(crate) u64);

impl JobId {
    /// Parses exactly 16 lower-case hexadecimal digits.
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
