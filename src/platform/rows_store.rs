//! The platform's table store: the operators' rows, and the list of entries.

use {
    super::{
        PlatformCaller, PlatformError,
        json::{read_json, write_json},
        platform_caller::PlatformCall,
    },
    crate::{
        core::{document::Document, link::EvacuatedZones, work::WorkerView},
        ports::{
            EntryListChange, EntryListReplica, OperatorChange, OperatorRows, SiteStore, StoreError,
        },
    },
    async_trait::async_trait,
    base64::{Engine, engine::general_purpose::STANDARD},
    bytes::Bytes,
    http::{Method, StatusCode},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc},
};

/// The operators' table.
const OPERATORS_TABLE: &str = "op";
/// Its row with the whole configuration.
const CONFIG_KEY: &str = "config";
/// Keys of its rows that name zones which are taken out.
const EVACUATE_PREFIX: &str = "evacuate/";
/// The system's table of entries.
const ENTRIES_TABLE: &str = "rattanslip_entries";
/// The system's table of workers, with a part for each agent.
const WORKERS_TABLE: &str = "rattanslip_workers";
/// Key of an agent's row there.
const WORKER_KEY: &str = "worker";
/// Time for an answer to begin, in milliseconds; a slow store takes 50 times its usual 4.
const CALL_TIMEOUT_MS: u64 = 1_000;
/// Time without a byte after which an answer that has begun is given up, in milliseconds.
const BODY_PAUSE_MS: u64 = 1_000;
/// Time beyond the asked wait after which a feed is given up, in milliseconds; as above.
const FEED_SLACK_MS: u64 = 500;

#[derive(Debug, Deserialize)]
struct RowBody {
    key: String,
    #[serde(default)]
    value: String,
    /// The version of the store that changed the row last.
    #[serde(default)]
    ver: u64,
    #[serde(default)]
    deleted: bool,
}

#[derive(Debug, Deserialize)]
struct RowsBody {
    #[serde(default)]
    rows: Vec<RowBody>,
    #[serde(default)]
    truncated: bool,
    /// The store's newest version, not that of a row; after a transaction, the version that it made.
    ver: u64,
}

#[derive(Debug, Clone, Copy, Serialize)]
struct RowKey<'a> {
    table: &'a str,
    part: &'a str,
    key: &'a str,
}

/// A row that must have this version for the transaction to be applied.
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

/// The store at one address.
#[derive(Debug)]
pub(crate) struct RowsStore {
    caller: PlatformCaller,
    addr: SocketAddr,
}

impl RowsStore {
    /// The store that listens there.
    pub(crate) const fn new(caller: PlatformCaller, addr: SocketAddr) -> Self {
        Self { caller, addr }
    }

    async fn get(
        &self,
        path: String,
        timeout_ms: u64,
    ) -> Result<(StatusCode, Bytes), PlatformError> {
        let call = PlatformCall {
            method: Method::GET,
            to: self.addr,
            path,
            headers: Vec::new(),
            body: Vec::new(),
            timeout_ms,
        };
        self.caller.read(call, BODY_PAUSE_MS).await
    }

    /// All rows of one part of a table, and the store's version.
    async fn rows(&self, table: &str, part: &str) -> Result<(Vec<RowBody>, u64), PlatformError> {
        let mut rows: Vec<RowBody> = Vec::new();
        let mut from = String::new();
        let mut version = None;
        loop {
            let path = format!("/v1/rows-get?table={table}&part={part}{from}");
            let (status, body) = self.get(path, CALL_TIMEOUT_MS).await?;
            if status != StatusCode::OK {
                return Err(PlatformError::Refused(status));
            }
            let page: RowsBody = read_json(&body)?;
            rows.extend(page.rows);
            // The first page is the oldest; what changed after it is told by the feed.
            let version = *version.get_or_insert(page.ver);
            let last = rows.last().filter(|_| page.truncated);
            match last {
                // Keys are in ascending order, and the smallest key above a text is that text and a zero byte.
                Some(last) => from = format!("&from={}%00", last.key),
                None => return Ok((rows, version)),
            }
        }
    }

    /// The rows of a table that changed after a version, and the store's version; none where they are no longer known.
    async fn changes(
        &self,
        table: &str,
        after: u64,
        wait_ms: u64,
    ) -> Result<Option<RowsBody>, PlatformError> {
        let path = format!("/v1/rows-feed?table={table}&after={after}&wait_ms={wait_ms}");
        let (status, body) = self.get(path, wait_ms + FEED_SLACK_MS).await?;
        match status {
            StatusCode::OK => {
                let page: RowsBody = read_json(&body)?;
                Ok((!page.truncated).then_some(page))
            }
            StatusCode::GONE => Ok(None),
            status => Err(PlatformError::Refused(status)),
        }
    }

    /// Applies a transaction; the version that it made, or `None` where a row had another version than expected.
    async fn transact(&self, body: &TransactionBody<'_>) -> Result<Option<u64>, PlatformError> {
        let body = write_json(body)?;
        let call = PlatformCall {
            method: Method::POST,
            to: self.addr,
            path: "/v1/rows-tx".to_owned(),
            headers: Vec::new(),
            body,
            timeout_ms: CALL_TIMEOUT_MS,
        };
        match self.caller.call(call).await? {
            (StatusCode::OK, body) => Ok(Some(read_json::<RowsBody>(&body)?.ver)),
            (StatusCode::PRECONDITION_FAILED, _) => Ok(None),
            (status, _) => Err(PlatformError::Refused(status)),
        }
    }
}

/// The operators' rows of a page.
#[derive(Debug, Default)]
struct OperatorRowsBody {
    /// Zones that the page names, and whether they are out.
    zones: BTreeMap<String, bool>,
    document: Option<Document>,
}

impl OperatorRowsBody {
    /// Reads rows in order; a later one of the same key counts.
    fn read(rows: &[RowBody]) -> Result<Self, PlatformError> {
        let mut read = Self::default();
        for row in rows {
            if let Some(zone) = row.key.strip_prefix(EVACUATE_PREFIX) {
                read.zones.insert(zone.to_owned(), !row.deleted);
            } else if row.key == CONFIG_KEY && !row.deleted {
                read.document = Some(Document {
                    revision: row.ver,
                    text: Arc::from(decode(row)?),
                });
            }
        }
        Ok(read)
    }
}

fn decode(row: &RowBody) -> Result<Vec<u8>, PlatformError> {
    let value = STANDARD.decode(&row.value);
    value.map_err(|error| PlatformError::Unreadable(error.to_string()))
}

#[async_trait]
impl SiteStore for RowsStore {
    async fn read_operator_rows(&self) -> Result<OperatorRows, StoreError> {
        let (rows, version) = self.rows(OPERATORS_TABLE, "").await?;
        let changed = OperatorRowsBody::read(&rows)?;
        let zones = changed.zones.into_iter();
        Ok(OperatorRows {
            zones: EvacuatedZones {
                version,
                evacuated: zones
                    .filter(|(_, out)| *out)
                    .map(|(zone, _)| zone)
                    .collect(),
            },
            document: changed.document,
        })
    }

    async fn wait_for_operator_change(
        &self,
        after: u64,
        wait_ms: u64,
    ) -> Result<OperatorChange, StoreError> {
        let Some(page) = self.changes(OPERATORS_TABLE, after, wait_ms).await? else {
            return Ok(OperatorChange::HistoryUnavailable);
        };
        let version = page.ver;
        if page.rows.is_empty() {
            return Ok(OperatorChange::None { version });
        }
        let OperatorRowsBody { zones, document } = OperatorRowsBody::read(&page.rows)?;
        Ok(OperatorChange::Rows {
            version,
            zones,
            document,
        })
    }

    async fn read_entries(
        &self,
        copy: EntryListReplica,
    ) -> Result<(Vec<SocketAddr>, u64), StoreError> {
        let part = copy.number().to_string();
        let (rows, version) = self.rows(ENTRIES_TABLE, &part).await?;
        let entries = rows.iter().filter_map(|row| row.key.parse().ok());
        Ok((entries.collect(), version))
    }

    async fn wait_for_entry_list_change(
        &self,
        after: u64,
        wait_ms: u64,
    ) -> Result<EntryListChange, StoreError> {
        let page = self.changes(ENTRIES_TABLE, after, wait_ms).await?;
        let unchanged = page.filter(|page| page.rows.is_empty());
        Ok(
            unchanged.map_or(EntryListChange::Some, |page| EntryListChange::None {
                version: page.ver,
            }),
        )
    }

    async fn add_entry(
        &self,
        entry: SocketAddr,
        copy: EntryListReplica,
    ) -> Result<u64, StoreError> {
        let (key, part) = (entry.to_string(), copy.number().to_string());
        let put = PutRow {
            row: entry_row(&key, &part),
            value: String::new(),
        };
        let body = TransactionBody {
            puts: vec![put],
            ..TransactionBody::default()
        };
        let version = self.transact(&body).await?;
        // Without an expected version there is nothing that could fail it.
        let conflict = || PlatformError::Refused(StatusCode::PRECONDITION_FAILED);
        Ok(version.ok_or_else(conflict)?)
    }

    async fn remove_entry(
        &self,
        entry: SocketAddr,
        copy: EntryListReplica,
        version: u64,
    ) -> Result<(), StoreError> {
        let (key, part) = (entry.to_string(), copy.number().to_string());
        let row = entry_row(&key, &part);
        let body = TransactionBody {
            expect_rev: vec![ExpectedRow { row, ver: version }],
            remove: vec![row],
            ..TransactionBody::default()
        };
        // A row of another version belongs to a newer process.
        self.transact(&body).await?;
        Ok(())
    }

    async fn read_worker(&self, agent: &str) -> Result<Option<WorkerView>, StoreError> {
        let (rows, _) = self.rows(WORKERS_TABLE, agent).await?;
        let Some(row) = rows.first() else {
            return Ok(None);
        };
        let worker = decode(row).and_then(|value| read_json(&value))?;
        Ok(Some(worker))
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

const fn entry_row<'a>(key: &'a str, part: &'a str) -> RowKey<'a> {
    RowKey {
        table: ENTRIES_TABLE,
        part,
        key,
    }
}
