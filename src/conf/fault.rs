//! A validation fault in a file.

use {serde::Serialize, std::fmt};

/// A validation fault with its position.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub(crate) struct Fault {
    /// Line in the file, from 1.
    pub(crate) line: usize,
    /// Top-level key of the field: a section such as `services`, or a settings key.
    pub(crate) section: String,
    /// Path of the field, such as `services.rent-index.memory_mb`.
    pub(crate) field: String,
    /// Description of the fault.
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
