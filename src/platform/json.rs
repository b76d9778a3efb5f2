//! JSON encoding of bodies and stored values.

use {
    super::PlatformError,
    serde::{Serialize, de::DeserializeOwned},
};

pub(super) fn read_json<T: DeserializeOwned>(text: &[u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(text).map_err(|error| PlatformError::Malformed(error.to_string()))
}

pub(super) fn write_json<T: Serialize>(value: &T) -> Result<Vec<u8>, PlatformError> {
    serde_json::to_vec(value).map_err(|error| PlatformError::Malformed(error.to_string()))
}
