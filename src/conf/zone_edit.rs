//! Changes one availability zone's state within a document's text.

use {
    crate::core::config::ZoneState,
    toml_edit::{DocumentMut, TableLike, Value},
};

/// The document with one zone's state changed and everything else as it was; `None` if the
/// document has no such zone.
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

/// Sets the state and keeps the comment behind it.
fn set_state(zone: &mut dyn TableLike, state: ZoneState) {
    let mut value = Value::from(state.as_str());
    if let Some(old) = zone.get("state").and_then(toml_edit::Item::as_value) {
        *value.decor_mut() = old.decor().clone();
    }
    zone.insert("state", toml_edit::Item::Value(value));
}
