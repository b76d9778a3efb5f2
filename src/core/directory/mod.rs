//! The entry's list of live agents.

mod digest_log;
mod directory;

#[cfg(test)]
mod tests;

pub(crate) use {
    digest_log::{DigestLog, Telling},
    directory::{Directory, HomeLocation},
};
