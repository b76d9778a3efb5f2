//! Reads TOML tables field by field and collects all faults with their lines.

use {
    super::Fault,
    std::{
        cell::RefCell,
        collections::BTreeSet,
        fmt::Display,
        net::SocketAddr,
        ops::{Range, RangeInclusive},
    },
    toml_edit::{Document, Item, TableLike},
};

/// Reader of one TOML table; a field that is never requested is a fault.
pub(crate) struct TableReader<'a> {
    text: &'a str,
    path: String,
    table: Option<&'a dyn TableLike>,
    span: Option<Range<usize>>,
    requested: BTreeSet<String>,
    faults: &'a RefCell<Vec<Fault>>,
}

impl<'a> TableReader<'a> {
    /// Parses the text and reads its root table with `read`.
    pub(crate) fn read_text<T>(
        text: &str,
        read: impl FnOnce(&mut TableReader<'_>) -> T,
    ) -> Result<T, Vec<Fault>> {
        let document = match Document::parse(text) {
            Ok(document) => document,
            Err(error) => {
                let start = error.span().map_or(0, |span| span.start);
                return Err(vec![Fault {
                    line: line_number_at(text, start),
                    section: section_at(text, start),
                    field: String::new(),
                    message: error.message().to_owned(),
                }]);
            }
        };
        let faults = RefCell::new(Vec::new());
        let mut reader = TableReader {
            text,
            path: String::new(),
            table: Some(document.as_table()),
            span: None,
            requested: BTreeSet::new(),
            faults: &faults,
        };
        let value = read(&mut reader);
        reader.report_unknown_fields();
        let mut faults = faults.into_inner();
        if faults.is_empty() {
            return Ok(value);
        }
        faults.sort();
        Err(faults)
    }

    /// Full path of a field of this table.
    pub(crate) fn path_of(&self, key: &str) -> String {
        if self.path.is_empty() {
            return key.to_owned();
        }
        format!("{}.{key}", self.path)
    }

    /// Records a fault of a field of this table.
    pub(crate) fn report_fault(&self, key: &str, message: impl Into<String>) {
        let span = self
            .table
            .and_then(|table| table.get_key_value(key))
            .and_then(|(key, item)| key.span().or_else(|| item.span()))
            .or_else(|| self.span.clone());
        let field = self.path_of(key);
        self.push_fault(span, field, message.into());
    }

    /// Records a fault of a nested field, at the line of its innermost existing parent.
    pub(crate) fn report_fault_at(&self, path: &[&str], message: impl Into<String>) {
        let mut table = self.table;
        let mut span = self.span.clone();
        for key in path {
            let Some((key, item)) = table.and_then(|table| table.get_key_value(key)) else {
                break;
            };
            span = match item.as_table() {
                Some(table) if table.span().is_some() => table.span(),
                _ => key.span().or_else(|| item.span()).or(span),
            };
            table = item.as_table_like();
        }
        self.push_fault(span, self.path_of(&path.join(".")), message.into());
    }

    /// Records a fault if a table is written without a header, as `zones.a = {}` or `zones = {}`.
    pub(crate) fn require_header(&self, key: &str) {
        let item = self.table.and_then(|table| table.get(key));
        let has_header = |item: &Item| item.as_table().is_none_or(|table| !table.is_dotted());
        if item.is_some_and(|item| item.is_inline_table() || !has_header(item)) {
            let message = format!("must be written with headers, such as [{key}.NAME]");
            self.report_fault(key, message);
        }
    }

    fn push_fault(&self, span: Option<Range<usize>>, field: String, message: String) {
        let section = field.split('.').next().unwrap_or_default().to_owned();
        self.faults.borrow_mut().push(Fault {
            line: line_number_at(self.text, span.map_or(0, |span| span.start)),
            section,
            field,
            message,
        });
    }

    /// Names of the fields of this table.
    pub(crate) fn keys(&self) -> Vec<String> {
        self.table
            .map(|table| table.iter().map(|(key, _)| key.to_owned()).collect())
            .unwrap_or_default()
    }

    fn item(&mut self, key: &str) -> Option<&'a Item> {
        self.requested.insert(key.to_owned());
        self.table.and_then(|table| table.get(key))
    }

    /// Reads a subtable; an absent one is read as empty.
    pub(crate) fn table<T>(
        &mut self,
        key: &str,
        read: impl FnOnce(&mut TableReader<'_>) -> T,
    ) -> T {
        let item = self.item(key);
        let table = item.and_then(Item::as_table_like);
        if item.is_some() && table.is_none() {
            self.report_fault(key, "must be a table");
        }
        let span = item.and_then(Item::span).or_else(|| {
            self.table
                .and_then(|table| table.get_key_value(key))
                .and_then(|(key, _)| key.span())
        });
        let mut reader = TableReader {
            text: self.text,
            path: self.path_of(key),
            table,
            span: span.or_else(|| self.span.clone()),
            requested: BTreeSet::new(),
            faults: self.faults,
        };
        let value = read(&mut reader);
        reader.report_unknown_fields();
        value
    }

    /// Reads a string; the field is required if there is no default.
    pub(crate) fn string(&mut self, key: &str, default: Option<&str>) -> String {
        match self.item(key).map(|item| item.as_str()) {
            Some(Some(text)) => return text.to_owned(),
            Some(None) => self.report_fault(key, "must be a string"),
            None if default.is_none() => self.report_fault(key, "is required"),
            None => {}
        }
        default.unwrap_or_default().to_owned()
    }

    /// Reads a required, non-empty string.
    pub(crate) fn name(&mut self, key: &str) -> String {
        let present = self.table.is_some_and(|table| table.contains_key(key));
        let text = self.string(key, None);
        if present && text.trim().is_empty() {
            self.report_fault(key, "must not be empty");
        }
        text
    }

    /// Reads one of the given values, or the default.
    pub(crate) fn choice<T: Copy>(&mut self, key: &str, choices: &[(&str, T)], default: T) -> T {
        let Some(item) = self.item(key) else {
            return default;
        };
        let found = item
            .as_str()
            .and_then(|text| choices.iter().find(|(name, _)| *name == text));
        if let Some((_, value)) = found {
            return *value;
        }
        let names: Vec<&str> = choices.iter().map(|(name, _)| *name).collect();
        self.report_fault(key, format!("must be one of {}", names.join(", ")));
        default
    }

    /// Reads an integer within a range; the field is required if there is no default.
    pub(crate) fn number<N>(&mut self, key: &str, range: RangeInclusive<N>, default: Option<N>) -> N
    where
        N: Copy + PartialOrd + Display + TryFrom<i64>,
    {
        let fallback = default.unwrap_or(*range.start());
        let Some(item) = self.item(key) else {
            if default.is_none() {
                self.report_fault(key, "is required");
            }
            return fallback;
        };
        let value = item.as_integer().and_then(|value| N::try_from(value).ok());
        match value {
            Some(value) if range.contains(&value) => value,
            _ => {
                let (low, high) = (range.start(), range.end());
                self.report_fault(key, format!("must be a whole number from {low} to {high}"));
                fallback
            }
        }
    }

    /// Reads a number with or without decimals within a range, or the default, in thousandths.
    pub(crate) fn permille(
        &mut self,
        key: &str,
        range: RangeInclusive<u32>,
        default_permille: u32,
    ) -> u32 {
        let Some(item) = self.item(key) else {
            return default_permille;
        };
        let (low, high) = (*range.start(), *range.end());
        let whole = item.as_integer().map(|value| value as f64);
        match item.as_float().or(whole) {
            Some(value) if value >= f64::from(low) && value <= f64::from(high) => {
                (value * 1_000.0).round() as u32
            }
            _ => {
                self.report_fault(key, format!("must be a number from {low}.0 to {high}.0"));
                default_permille
            }
        }
    }

    /// Reads a boolean, or the default.
    pub(crate) fn boolean(&mut self, key: &str, default: bool) -> bool {
        let Some(item) = self.item(key) else {
            return default;
        };
        item.as_bool().unwrap_or_else(|| {
            self.report_fault(key, "must be true or false");
            default
        })
    }

    /// Reads a list of strings; an absent one is read as empty.
    pub(crate) fn strings(&mut self, key: &str) -> Vec<String> {
        let Some(item) = self.item(key) else {
            return Vec::new();
        };
        let Some(array) = item.as_array() else {
            self.report_fault(key, "must be a list of strings");
            return Vec::new();
        };
        let texts: Vec<String> = array
            .iter()
            .filter_map(|value| value.as_str().map(str::to_owned))
            .collect();
        if texts.len() != array.len() {
            self.report_fault(key, "must be a list of strings");
        }
        texts
    }

    /// Reads a required IP address with a port; host names are not resolved.
    pub(crate) fn socket_addr(&mut self, key: &str) -> SocketAddr {
        let fallback = SocketAddr::from(([127, 0, 0, 1], 0));
        let present = self.table.is_some_and(|table| table.contains_key(key));
        let text = self.string(key, None);
        if !present {
            return fallback;
        }
        text.parse().unwrap_or_else(|_| {
            self.report_fault(
                key,
                "must be an IP number with a port, such as 127.0.0.1:7000",
            );
            fallback
        })
    }

    /// Reads an IP address with a port, or the default.
    pub(crate) fn socket_addr_or(&mut self, key: &str, default: SocketAddr) -> SocketAddr {
        if self.table.is_some_and(|table| table.contains_key(key)) {
            return self.socket_addr(key);
        }
        default
    }

    /// Reads a list of IP addresses with ports; an absent one is read as empty.
    pub(crate) fn socket_addrs(&mut self, key: &str) -> Vec<SocketAddr> {
        let texts = self.strings(key);
        let addrs: Vec<SocketAddr> = texts.iter().filter_map(|text| text.parse().ok()).collect();
        if addrs.len() != texts.len() {
            self.report_fault(key, "each must be an IP number with a port");
        }
        addrs
    }

    fn report_unknown_fields(&self) {
        for key in self.keys() {
            if !self.requested.contains(&key) {
                self.report_fault(&key, "unknown field");
            }
        }
    }
}

/// Line number, from 1, of a byte position in the text.
fn line_number_at(text: &str, position: usize) -> usize {
    let end = position.min(text.len());
    1 + text.as_bytes()[..end]
        .iter()
        .filter(|byte| **byte == b'\n')
        .count()
}

/// Section of the nearest header at or above a position, for syntax errors.
fn section_at(text: &str, position: usize) -> String {
    let end = text[position.min(text.len())..]
        .find('\n')
        .map_or(text.len(), |length| position + length);
    text[..end]
        .lines()
        .rev()
        .find_map(|line| line.trim_start().strip_prefix('['))
        .and_then(|header| header.trim_start_matches('[').split(['.', ']']).next())
        .unwrap_or_default()
        .to_owned()
}
