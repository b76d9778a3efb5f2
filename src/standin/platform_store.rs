//! In-memory table and object store of the platform stand-in for standalone deployments.

use {
    crate::ports::{Row, Transaction, TransactionOutcome},
    std::collections::BTreeMap,
};

/// Versioned rows and named objects.
#[derive(Debug, Default)]
pub(crate) struct PlatformStore {
    rows: BTreeMap<String, Row>,
    objects: BTreeMap<String, String>,
}

impl PlatformStore {
    /// Looks up a row.
    pub(crate) fn get(&self, key: &str) -> Option<&Row> {
        self.rows.get(key)
    }

    /// Rows whose key has the prefix, sorted by key.
    pub(crate) fn scan(&self, prefix: &str) -> Vec<Row> {
        self.rows
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(_, row)| row.clone())
            .collect()
    }

    /// Applies all writes if every checked row has the expected version.
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

    /// Looks up an object.
    pub(crate) fn object(&self, name: &str) -> Option<&String> {
        self.objects.get(name)
    }

    /// Creates or replaces an object.
    pub(crate) fn put_object(&mut self, name: String, body: String) {
        self.objects.insert(name, body);
    }
}
