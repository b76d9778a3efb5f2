//! Loading of settings files.

use {
    super::{ConfError, Fault, TableReader},
    std::{fs, path::Path},
};

/// Loads a settings file with `read`; the error lists all faults, not only the first.
pub(crate) fn load_settings<S>(
    path: &Path,
    read: impl FnOnce(&mut TableReader<'_>) -> S,
) -> Result<S, ConfError> {
    let name = path.display().to_string();
    let text = fs::read_to_string(path).map_err(|error| ConfError::Read(name.clone(), error))?;
    parse_settings(&text, read).map_err(|faults| ConfError::Faults(name, faults))
}

/// Parses settings from text.
pub(super) fn parse_settings<S>(
    text: &str,
    read: impl FnOnce(&mut TableReader<'_>) -> S,
) -> Result<S, Vec<Fault>> {
    TableReader::read_text(text, read)
}
