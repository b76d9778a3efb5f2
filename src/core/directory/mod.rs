//! The entry's list of live agents.

mod directory;

#[cfg(test)]
mod tests;

pub(crate) use directory::{Directory, HomeLocation};
