//! Client of the platform's table store: operators' rows, the list of entries, and worker views.

use {
    super::{
        PlatformError, PlatformHttpClient,
        json::{RowList, read_json, write_json},
        platform_http_client::PlatformRequest,
    },
    crate::{
        core::{
            document::Document,
            entry_list::{EntryListChange, EntryListReplica},
            link::EvacuatedZones,
            work::WorkerView,
        },
        ports::{EntryListUpdate, OperatorChange, OperatorRows, SiteStore, StoreError},
    },
    async_trait::async_trait,
    base64::{Engine, engine::general_purpose::STANDARD},
    bytes::Bytes,
    http::{Method, StatusCode},
    percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc},
};

/// The operators' table.
const OPERATORS_TABLE: &str = "op";
/// Key of the operators' row with the complete configuration.
const CONFIG_KEY: &str = "config";
/// Key prefix of the operators' rows that name evacuated zones.
const EVACUATE_PREFIX: &str = "evacuate/";
/// First key after all that begin with [`EVACUATE_PREFIX`].
const EVACUATE_END: &str = "evacuate0";
/// Prefix of the project's tables of entries; each replica is the only part of a table of its own, because a feed
/// delivers the changes of all parts of its table.
const ENTRIES_TABLE_PREFIX: &str = "rattanslip_entries_";
/// The project's table of workers, with a part for each agent.
const WORKERS_TABLE: &str = "rattanslip_workers";
/// Key of an agent's row in [`WORKERS_TABLE`].
const WORKER_KEY: &str = "worker";
/// Expected version of a row that must not exist.
const ABSENT: u64 = 0;
/// Time for a response to start, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 1_000;
/// Maximum gap while a response body is read, in milliseconds.
const BODY_IDLE_TIMEOUT_MS: u64 = 1_000;
/// Timeout of a feed call beyond the requested wait, in milliseconds.
const FEED_TIMEOUT_MARGIN_MS: u64 = 500;

#[derive(Debug, Deserialize)]
struct RowBody {
    key: String,
    #[serde(default)]
    value: String,
    /// The store version of the row's latest change.
    #[serde(default)]
    ver: u64,
    #[serde(default)]
    deleted: bool,
}

#[derive(Debug, Deserialize)]
struct RowsBody {
    #[serde(default)]
    rows: RowList,
    #[serde(default)]
    truncated: bool,
    /// The latest store version, or the version that a transaction created.
    ver: u64,
}

/// Rows that changed up to a version.
#[derive(Debug)]
struct ChangedRows {
    rows: Vec<RowBody>,
    version: u64,
}

#[derive(Debug, Clone, Copy, Serialize)]
struct RowKey<'a> {
    table: &'a str,
    part: &'a str,
    key: &'a str,
}

/// A row that must have this version for the transaction to succeed.
#[derive(Debug, Serialize)]
struct ExpectedRow<'a> {
    #[serde(flatten)]
    row: RowKey<'a>,
    ver: u64,
}

#[derive(Debug, Serialize)]
struct PutRow<'a> {
    #[serde(flatten)]
    row: RowKey<'a>,
    value: String,
}

#[derive(Debug, Default, Serialize)]
struct TransactionBody<'a> {
    expect_rev: Vec<ExpectedRow<'a>>,
    puts: Vec<PutRow<'a>>,
    remove: Vec<RowKey<'a>>,
}

/// Client of the store at one address.
#[derive(Debug)]
pub(crate) struct RowsStore {
    client: PlatformHttpClient,
}

impl RowsStore {
    pub(crate) const fn new(client: PlatformHttpClient) -> Self {
        Self { client }
    }

    async fn get(
        &self,
        path: String,
        timeout_ms: u64,
    ) -> Result<(StatusCode, Bytes), PlatformError> {
        let call = PlatformRequest {
            method: Method::GET,
            path,
            headers: Vec::new(),
            body: Vec::new(),
            timeout_ms,
        };
        self.client.call_streaming(call, BODY_IDLE_TIMEOUT_MS).await
    }

    /// Reads all rows of one part of a table, and the store version.
    async fn read_rows(
        &self,
        table: &str,
        part: &str,
    ) -> Result<(Vec<RowBody>, u64), PlatformError> {
        self.read_range(table, part, String::new(), "").await
    }

    /// Reads rows of one part of a table, and the store version; `from` and `to` are query fields that
    /// bound the keys, or empty.
    async fn read_range(
        &self,
        table: &str,
        part: &str,
        mut from: String,
        to: &str,
    ) -> Result<(Vec<RowBody>, u64), PlatformError> {
        let mut rows: Vec<RowBody> = Vec::new();
        let mut version = None;
        loop {
            let path = format!("/v1/rows-get?table={table}&part={part}{from}{to}");
            let (status, body) = self.get(path, CALL_TIMEOUT_MS).await?;
            if status != StatusCode::OK {
                return Err(PlatformError::Rejected(status));
            }
            let page: RowsBody = read_json(&body)?;
            let page_rows: Vec<RowBody> = page.rows.parse_objects("rows");
            rows.extend(page_rows);
            // The feed delivers all changes after the version of the first page.
            let version = *version.get_or_insert(page.ver);
            let last = rows.last().filter(|_| page.truncated);
            match last {
                // Keys are in ascending order; a key with an appended zero byte is the next possible key.
                Some(last) => {
                    let key = utf8_percent_encode(&last.key, NON_ALPHANUMERIC);
                    let next = format!("&from={key}%00");
                    if next == from {
                        let detail = "a page has no row that can be parsed".to_owned();
                        return Err(PlatformError::Malformed(detail));
                    }
                    from = next;
                }
                None => return Ok((rows, version)),
            }
        }
    }

    /// Waits for rows of a table that changed after a version; `None` if the response lacks some of these changes,
    /// because the store has discarded or truncated them.
    async fn wait_for_changes(
        &self,
        table: &str,
        after: u64,
        wait_ms: u64,
    ) -> Result<Option<ChangedRows>, PlatformError> {
        let path = format!("/v1/rows-feed?table={table}&after={after}&wait_ms={wait_ms}");
        let (status, body) = self.get(path, wait_ms + FEED_TIMEOUT_MARGIN_MS).await?;
        match status {
            StatusCode::OK => {
                let page: RowsBody = read_json(&body)?;
                let rows = page.rows.parse_objects("changed rows");
                let version = page.ver;
                Ok((!page.truncated).then_some(ChangedRows { rows, version }))
            }
            StatusCode::GONE => Ok(None),
            status => Err(PlatformError::Rejected(status)),
        }
    }

    /// Executes a transaction and returns the version that it created; `None` if a row had an unexpected version.
    async fn transact(&self, body: &TransactionBody<'_>) -> Result<Option<u64>, PlatformError> {
        let body = write_json(body)?;
        let call = PlatformRequest {
            method: Method::POST,
            path: "/v1/rows-tx".to_owned(),
            headers: Vec::new(),
            body,
            timeout_ms: CALL_TIMEOUT_MS,
        };
        match self.client.call(call).await? {
            (StatusCode::OK, body) => Ok(Some(read_json::<RowsBody>(&body)?.ver)),
            (StatusCode::PRECONDITION_FAILED, _) => Ok(None),
            (status, _) => Err(PlatformError::Rejected(status)),
        }
    }
}

/// The operators' rows of a page.
#[derive(Debug, Default)]
struct OperatorRowsPage {
    /// Zones that the page names, and whether they are evacuated.
    zones: BTreeMap<String, bool>,
    document: Option<Document>,
}

impl OperatorRowsPage {
    /// Parses rows in order; a later row replaces an earlier one of the same key. A deletion of the configuration is
    /// ignored, so the last one stays in force, and so is one that can't be decoded.
    fn parse(rows: &[RowBody]) -> Self {
        let mut page = Self::default();
        for row in rows {
            if let Some(zone) = row.key.strip_prefix(EVACUATE_PREFIX) {
                page.zones.insert(zone.to_owned(), !row.deleted);
            } else if row.key == CONFIG_KEY && !row.deleted {
                match decode(row) {
                    Ok(text) => {
                        page.document = Some(Document {
                            revision: row.ver,
                            text: Arc::from(text),
                        });
                    }
                    Err(error) => log::warn!(error:% = error; "the configuration can't be decoded"),
                }
            }
        }
        page
    }
}

fn decode(row: &RowBody) -> Result<Vec<u8>, PlatformError> {
    let value = STANDARD.decode(&row.value);
    value.map_err(|error| PlatformError::Malformed(error.to_string()))
}

#[async_trait]
impl SiteStore for RowsStore {
    async fn read_operator_rows(&self) -> Result<OperatorRows, StoreError> {
        let (rows, version) = self.read_rows(OPERATORS_TABLE, "").await?;
        let changed = OperatorRowsPage::parse(&rows);
        let zones = changed.zones.into_iter();
        Ok(OperatorRows {
            zones: EvacuatedZones {
                version,
                evacuated: zones
                    .filter(|(_, is_evacuated)| *is_evacuated)
                    .map(|(zone, _)| zone)
                    .collect(),
            },
            document: changed.document,
        })
    }

    async fn read_evacuated_zones(&self) -> Result<EvacuatedZones, StoreError> {
        let from = format!("&from={EVACUATE_PREFIX}");
        let to = format!("&to={EVACUATE_END}");
        let (rows, version) = self.read_range(OPERATORS_TABLE, "", from, &to).await?;
        let zones = rows
            .iter()
            .filter_map(|row| row.key.strip_prefix(EVACUATE_PREFIX));
        Ok(EvacuatedZones {
            version,
            evacuated: zones.map(str::to_owned).collect(),
        })
    }

    async fn wait_for_operator_change(
        &self,
        after: u64,
        wait_ms: u64,
    ) -> Result<OperatorChange, StoreError> {
        let Some(page) = self
            .wait_for_changes(OPERATORS_TABLE, after, wait_ms)
            .await?
        else {
            return Ok(OperatorChange::HistoryUnavailable);
        };
        let version = page.version;
        if page.rows.is_empty() {
            return Ok(OperatorChange::None { version });
        }
        let OperatorRowsPage { zones, document } = OperatorRowsPage::parse(&page.rows);
        Ok(OperatorChange::Rows {
            version,
            zones,
            document,
        })
    }

    async fn read_entries(
        &self,
        replica: EntryListReplica,
    ) -> Result<(Vec<SocketAddr>, u64), StoreError> {
        let (table, part) = entries_part(replica);
        let (rows, version) = self.read_rows(&table, &part).await?;
        let entries = rows.iter().filter_map(|row| row.key.parse().ok());
        Ok((entries.collect(), version))
    }

    async fn wait_for_entry_list_update(
        &self,
        replica: EntryListReplica,
        after: u64,
        wait_ms: u64,
    ) -> Result<EntryListUpdate, StoreError> {
        let (table, _) = entries_part(replica);
        let Some(page) = self.wait_for_changes(&table, after, wait_ms).await? else {
            return Ok(EntryListUpdate::HistoryUnavailable);
        };
        let change = |row: &RowBody| {
            let entry = row.key.parse().ok()?;
            let is_listed = !row.deleted;
            Some(EntryListChange { entry, is_listed })
        };
        Ok(EntryListUpdate::Changes {
            version: page.version,
            changes: page.rows.iter().filter_map(change).collect(),
        })
    }

    async fn add_entry(
        &self,
        entry: SocketAddr,
        replica: EntryListReplica,
    ) -> Result<bool, StoreError> {
        let (table, part) = entries_part(replica);
        let key = entry.to_string();
        let row = RowKey {
            table: &table,
            part: &part,
            key: &key,
        };
        let body = TransactionBody {
            expect_rev: vec![ExpectedRow { row, ver: ABSENT }],
            puts: vec![PutRow {
                row,
                value: String::new(),
            }],
            ..TransactionBody::default()
        };
        Ok(self.transact(&body).await?.is_some())
    }

    async fn remove_entry(
        &self,
        entry: SocketAddr,
        replica: EntryListReplica,
    ) -> Result<(), StoreError> {
        let (table, part) = entries_part(replica);
        let key = entry.to_string();
        let body = TransactionBody {
            remove: vec![RowKey {
                table: &table,
                part: &part,
                key: &key,
            }],
            ..TransactionBody::default()
        };
        self.transact(&body).await?;
        Ok(())
    }

    async fn read_worker(&self, agent: &str) -> Result<Option<WorkerView>, StoreError> {
        let (rows, _) = self.read_rows(WORKERS_TABLE, agent).await?;
        let Some(row) = rows.iter().find(|row| row.key == WORKER_KEY) else {
            return Ok(None);
        };
        match decode(row).and_then(|value| read_json(&value)) {
            Ok(worker) => Ok(Some(worker)),
            Err(error) => {
                log::info!(error:% = error; "the stored worker view is malformed");
                Ok(None)
            }
        }
    }

    async fn store_worker(&self, agent: &str, worker: &WorkerView) -> Result<(), StoreError> {
        let put = PutRow {
            row: RowKey {
                table: WORKERS_TABLE,
                part: agent,
                key: WORKER_KEY,
            },
            value: STANDARD.encode(write_json(worker)?),
        };
        let body = TransactionBody {
            puts: vec![put],
            ..TransactionBody::default()
        };
        self.transact(&body).await?;
        Ok(())
    }
}

/// Table and part of a replica of the list of entries.
fn entries_part(replica: EntryListReplica) -> (String, String) {
    let part = replica.number().to_string();
    (format!("{ENTRIES_TABLE_PREFIX}{part}"), part)
}
