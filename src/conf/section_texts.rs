//! Splits a document into its sections and merges sections without reformatting them.

use {
    crate::core::config::SECTIONS,
    std::collections::BTreeMap,
    toml_edit::{Document, Item, Table},
};

/// Prefix of the first line of a document printed by `show`; the version number follows.
const VERSION_COMMENT_PREFIX: &str = "# rattanslip version ";

/// A table header with the comments above it and the fields below it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Chunk<'a> {
    section: &'static str,
    text: &'a str,
}

/// Splits off the version comment; the document is unchanged if it has none.
pub(crate) fn split_version_comment(text: &str) -> (Option<u64>, &str) {
    let Some(rest) = text.strip_prefix(VERSION_COMMENT_PREFIX) else {
        return (None, text);
    };
    let (version, document) = rest.split_once('\n').unwrap_or((rest, ""));
    match version.trim().parse() {
        Ok(version) => (Some(version), document),
        Err(_) => (None, text),
    }
}

/// Prepends the version comment to the document.
pub(crate) fn with_version_comment(version: u64, text: &str) -> String {
    format!("{VERSION_COMMENT_PREFIX}{version}\n{text}")
}

/// Text of each section, including its comments.
pub(crate) fn section_texts(text: &str) -> BTreeMap<&'static str, String> {
    let mut texts = BTreeMap::new();
    for chunk in chunks(text) {
        let section: &mut String = texts.entry(chunk.section).or_default();
        section.push_str(chunk.text);
    }
    texts
}

/// Replaces the `changed` sections of the current document by those of the draft.
///
/// A replaced section stays in its position; a new one is appended.
pub(crate) fn merge_sections(current: &str, draft: &str, changed: &[&'static str]) -> String {
    let draft = section_texts(draft);
    let mut merged = String::with_capacity(current.len());
    let mut written: Vec<&str> = Vec::new();
    for chunk in chunks(current) {
        if !changed.contains(&chunk.section) {
            push_lines(&mut merged, chunk.text);
        } else if !written.contains(&chunk.section) {
            written.push(chunk.section);
            push_lines(
                &mut merged,
                draft.get(chunk.section).map_or("", |text| text),
            );
        }
    }
    for section in changed {
        if !written.contains(section) {
            push_lines(&mut merged, draft.get(section).map_or("", |text| text));
        }
    }
    merged
}

/// Appends text, on a new line.
fn push_lines(merged: &mut String, text: &str) {
    if !merged.is_empty() && !merged.ends_with('\n') && !text.is_empty() {
        merged.push('\n');
    }
    merged.push_str(text);
}

/// Splits the document before the comments above each header; empty for text that can't be parsed.
fn chunks(text: &str) -> Vec<Chunk<'_>> {
    let Ok(document) = Document::parse(text) else {
        return Vec::new();
    };
    let mut headers = Vec::new();
    for section in SECTIONS {
        if let Some(item) = document.as_table().get(section) {
            collect_headers(item, section, &mut headers);
        }
    }
    headers.sort_unstable();
    let starts: Vec<usize> = headers
        .iter()
        .enumerate()
        .map(|(index, (header, _))| match index {
            0 => 0,
            _ => leading_comments_start(text, *header),
        })
        .collect();
    let ends = starts.iter().skip(1).copied().chain([text.len()]);
    headers
        .iter()
        .zip(starts.iter().zip(ends))
        .filter_map(|((_, section), (start, end))| {
            text.get(*start..end).map(|text| Chunk { section, text })
        })
        .collect()
}

fn collect_headers(item: &Item, section: &'static str, headers: &mut Vec<(usize, &'static str)>) {
    match item {
        Item::Table(table) => collect_table_headers(table, section, headers),
        Item::ArrayOfTables(tables) => {
            for table in tables {
                collect_table_headers(table, section, headers);
            }
        }
        Item::None | Item::Value(_) => {}
    }
}

fn collect_table_headers(
    table: &Table,
    section: &'static str,
    headers: &mut Vec<(usize, &'static str)>,
) {
    if let Some(span) = table.span()
        && !table.is_implicit()
        && !table.is_dotted()
    {
        headers.push((span.start, section));
    }
    for (_, item) in table {
        collect_headers(item, section, headers);
    }
}

/// Start of a header's indentation and of the comments above it; blank lines before them belong to the
/// previous chunk.
fn leading_comments_start(text: &str, header: usize) -> usize {
    let mut position = header;
    let mut start = header;
    for line in text[..header].split_inclusive('\n').rev() {
        let trimmed = line.trim_start();
        let is_comment = trimmed.starts_with('#');
        if !trimmed.is_empty() && !is_comment {
            break;
        }
        position -= line.len();
        if is_comment || !line.ends_with('\n') {
            start = position;
        }
    }
    start
}
