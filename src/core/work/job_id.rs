//! Identifiers of jobs and queues.

use {
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Number of digits in the text form of a [`JobNumber`].
const DIGITS: usize = 16;

/// Number that a client has chosen for a job; jobs of other queues may have the same one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct JobNumber(pub(crate) u64);

impl JobNumber {
    /// Parses exactly 16 lower-case hexadecimal digits.
    pub(crate) fn parse(text: &str) -> Option<Self> {
        let is_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        if text.len() != DIGITS || !text.bytes().all(is_digit) {
            return None;
        }
        u64::from_str_radix(text, 16).ok().map(Self)
    }
}

impl fmt::Display for JobNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Identifies a queue by the address of its clients' requests, whatever route leads there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct QueueId(u64);

impl QueueId {
    /// The queue with this host and path prefix; the same in all processes.
    pub(crate) fn new(host: &str, path_prefix: &str) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(host.as_bytes());
        hasher.update(&[0]);
        hasher.update(path_prefix.as_bytes());
        let mut id = [0; 8];
        id.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        Self(u64::from_le_bytes(id))
    }
}

/// Identifies a job; the same in every copy of the job. Its text form is the client's number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct JobId {
    pub(crate) queue: QueueId,
    pub(crate) number: JobNumber,
}

impl JobId {
    /// A job of the same queue for each number.
    #[cfg(test)]
    pub(crate) const fn of_number(number: u64) -> Self {
        Self {
            queue: QueueId(0),
            number: JobNumber(number),
        }
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.number)
    }
}
