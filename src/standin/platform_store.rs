//! The stand-in's table and objects, in memory.

use {
    crate::ports::{Row, Transaction, TransactionOutcome},
    std::collections::BTreeMap,
};

/// Rows and objects.
#[derive(Debug, Default)]
pub(crate) struct PlatformStore {
    rows: BTreeMap<String, Row>,
    objects: BTreeMap<String, String>,
}

impl PlatformStore {
    /// One row.
    pub(crate) fn get(&self, key: &str) -> Option<&Row> {
        self.rows.get(key)
    }

    /// All rows with this prefix, in the order of their keys.
    pub(crate) fn scan(&self, prefix: &str) -> Vec<Row> {
        self.rows
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(_, row)| row.clone())
            .collect()
    }

    /// Writes if all checks hold.
    pub(crate) fn transact(&mut self, transaction: Transaction) -> TransactionOutcome {
        for check in &transaction.checks {
            let version = self.rows.get(&check.key).map_or(0, |row| row.version);
            if version != check.version {
                return TransactionOutcome::Conflict {
                    key: check.key.clone(),
                };
            }
        }
        for put in transaction.puts {
            let Some(value) = put.value else {
                self.rows.remove(&put.key);
                continue;
            };
            let version = self.rows.get(&put.key).map_or(0, |row| row.version) + 1;
            let row = Row {
                key: put.key.clone(),
                value,
                version,
            };
            self.rows.insert(put.key, row);
        }
        TransactionOutcome::Committed
    }

    /// One object.
    pub(crate) fn object(&self, name: &str) -> Option<&String> {
        self.objects.get(name)
    }

    /// Writes an object.
    pub(crate) fn put_object(&mut self, name: String, body: String) {
        self.objects.insert(name, body);
    }
}
