//! JSON encoding of bodies and stored values.

use {
    super::PlatformError,
    serde::{Deserialize, Deserializer, Serialize, de::DeserializeOwned},
    serde_json::value::RawValue,
};

/// Longest duration in a job or configuration, in milliseconds: a year. Longer ones are shortened to it, so that
/// sums of them can't overflow.
pub(super) const MAX_DURATION_MS: u64 = 365 * 24 * 3_600 * 1_000;

/// Parses a duration of at most [`MAX_DURATION_MS`].
pub(super) fn duration_ms<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    u64::deserialize(deserializer).map(|duration_ms| duration_ms.min(MAX_DURATION_MS))
}

pub(super) fn read_json<T: DeserializeOwned>(text: &[u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(text).map_err(|error| PlatformError::Malformed(error.to_string()))
}

pub(super) fn write_json<T: Serialize>(value: &T) -> Result<Vec<u8>, PlatformError> {
    serde_json::to_vec(value).map_err(|error| PlatformError::Malformed(error.to_string()))
}

/// A list whose rows are parsed one by one: other writers may leave a row of any form in it.
#[derive(Debug, Default, Deserialize)]
#[serde(transparent)]
pub(super) struct RowList(Vec<Box<RawValue>>);

impl RowList {
    /// Parses the rows; logs how many are malformed, and leaves those aside. `list` is a name for the log.
    pub(super) fn parse<T>(
        &self,
        list: &'static str,
        parse_row: impl Fn(&str) -> Option<T>,
    ) -> Vec<T> {
        let rows: Vec<T> = self
            .0
            .iter()
            .filter_map(|row| parse_row(row.get()))
            .collect();
        let malformed = self.0.len() - rows.len();
        if malformed > 0 {
            log::info!(list = list, rows = malformed; "malformed rows are left aside");
        }
        rows
    }

    /// Parses rows that are objects.
    pub(super) fn parse_objects<T: DeserializeOwned>(&self, list: &'static str) -> Vec<T> {
        self.parse(list, |row| serde_json::from_str(row).ok())
    }
}

/// Parses a row that is an array; its fields are parsed by the caller, so that one which isn't used may
/// have any form.
pub(super) fn parse_fields(row: &str) -> Option<Vec<&RawValue>> {
    serde_json::from_str(row).ok()
}

/// Parses a field of a row.
pub(super) fn parse_field<T: DeserializeOwned>(fields: &[&RawValue], position: usize) -> Option<T> {
    serde_json::from_str(fields.get(position)?.get()).ok()
}
