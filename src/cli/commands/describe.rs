//! Text output for responses of the configuration API.

use {jiff::Timestamp, serde_json::Value, std::fmt::Write};

/// Describes the differences of a change, one per line.
pub(crate) fn describe_change(response: &Value) -> String {
    let mut text = String::new();
    for difference in response["differences"].as_array().into_iter().flatten() {
        let line = difference["words"].as_str().unwrap_or_default();
        // Writing to a string can't fail.
        let _ = writeln!(text, "  {line}");
    }
    if !text.is_empty() {
        return text;
    }
    let sections: Vec<&str> = response["sections"]
        .as_array()
        .into_iter()
        .flatten()
        .filter_map(Value::as_str)
        .collect();
    if sections.is_empty() {
        return "  nothing would change\n".to_owned();
    }
    format!("  only comments, in {}\n", sections.join(", "))
}

/// Describes conflicting changes, one line per section.
pub(crate) fn describe_conflicts(detail: &Value) -> Vec<String> {
    let conflicts = detail["conflicts"].as_array();
    let mut lines: Vec<String> = conflicts
        .into_iter()
        .flatten()
        .map(|conflict| {
            format!(
                "section {}: changed by {} at {} in version {}; your document was made from version {}",
                conflict["section"].as_str().unwrap_or_default(),
                conflict["author"].as_str().unwrap_or_default(),
                change_time(conflict),
                conflict["version"],
                conflict["based_on"],
            )
        })
        .collect();
    let lacks_base_version = conflicts
        .into_iter()
        .flatten()
        .any(|conflict| conflict["based_on"] == 0);
    if lacks_base_version {
        lines.push(
            "say what it was made from: --based-on VERSION, or edit what `show` prints".to_owned(),
        );
    }
    lines
}

/// Time of a section's last change, in UTC.
pub(crate) fn change_time(change: &Value) -> String {
    change["changed_at_ms"]
        .as_i64()
        .and_then(|ms| Timestamp::from_millisecond(ms).ok())
        .map_or_else(String::new, |time| {
            time.strftime("%Y-%m-%dT%H:%M:%SZ").to_string()
        })
}
