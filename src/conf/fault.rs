//! One fault of a file.

use {serde::Serialize, std::fmt};

/// What is wrong, and where.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub(crate) struct Fault {
    /// Line in the file, from 1.
    pub(crate) line: usize,
    /// The section, such as `services`; for settings the outermost field.
    pub(crate) section: String,
    /// Path of the field, such as `services.rent-index.memory_mb`.
    pub(crate) field: String,
    /// What is wrong with it.
    pub(crate) message: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.field.is_empty() {
            return write!(f, "line {}: {}", self.line, self.message);
        }
        write!(f, "line {}: {}: {}", self.line, self.field, self.message)
    }
}
