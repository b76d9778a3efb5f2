//! Edits the state of an availability zone in the text of a document.

use {
    crate::core::config::ZoneState,
    toml_edit::{DocumentMut, TableLike, Value},
};

/// Sets a zone's state and leaves the rest of the text unchanged; `None` if the document has no
/// such zone.
pub(crate) fn with_zone_state(text: &str, zone: &str, state: ZoneState) -> Option<String> {
    let mut document: DocumentMut = text.parse().ok()?;
    let zone = document
        .get_mut("zones")?
        .as_table_like_mut()?
        .get_mut(zone)?
        .as_table_like_mut()?;
    set_state(zone, state);
    Some(document.to_string())
}

/// Sets the state and preserves the comment after it.
fn set_state(zone: &mut dyn TableLike, state: ZoneState) {
    let mut value = Value::from(state.as_str());
    if let Some(old) = zone.get("state").and_then(toml_edit::Item::as_value) {
        *value.decor_mut() = old.decor().clone();
    }
    zone.insert("state", toml_edit::Item::Value(value));
}
