//! The entry's directory of live agents.

mod digest_log;
mod directory;

#[cfg(test)]
mod tests;

pub(crate) use {
    digest_log::{AgentDigest, DigestLog},
    directory::{Directory, HomeLocation},
};
