//! Rows of another writer in the lists that processes read: they are left aside, and the others hold.

use {
    super::{heartbeat, metrics, parse_heartbeat},
    crate::{
        adapters::http::{HttpHandler, HttpRequest, HttpResponse, serve_http},
        core::{
            document::Document,
            entry_list::{EntryListChange, EntryListReplica},
            execution::HoldResponse,
            work::WorkerView,
        },
        platform::{
            PlatformHttpClient, RowsStore, http_worker_client::parse_run_list, parse_config,
        },
        ports::{EntryListUpdate, OperatorChange, SiteStore},
    },
    async_trait::async_trait,
    base64::{Engine, engine::general_purpose::STANDARD},
    http::StatusCode,
    proptest::{
        prelude::*,
        test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
    },
    serde_json::{Value, json},
    std::{net::SocketAddr, sync::Arc},
    tokio::{net::TcpListener, sync::watch},
};

/// Rows of any form.
const ODD_ROWS: [&str; 14] = [
    r#""text""#,
    "7",
    "null",
    "true",
    "{}",
    "[]",
    "1e999",
    "-1",
    "18446744073709551616",
    r#"["0000000000000009.0.0.0", 1e999, "", 100]"#,
    r#"[18446744073709551615, "0000000000000009.0.0.0", 1, "done", ""]"#,
    r#"{"key": 7, "ver": 3, "value": ""}"#,
    r#"{"key": "evacuate/odd", "ver": 1e999, "value": ""}"#,
    r#"{"name": "odd", "host": ["a.example"], "path_prefix": 3}"#,
];

/// A row that is nested this deep.
fn nested(depth: usize) -> String {
    "[".repeat(depth) + &"]".repeat(depth)
}

fn odd_rows() -> Vec<String> {
    let rows = ODD_ROWS.map(str::to_owned).into_iter();
    rows.chain([nested(200), nested(4_000)]).collect()
}

/// A JSON list of the rows, with the odd one in between.
fn list(rows: [&Value; 2], odd: &str) -> String {
    format!("[{},{odd},{}]", rows[0], rows[1])
}

/// Runs and ends of a run list with the odd row in both of its lists.
fn parse_lists(odd: &str) -> Option<(Vec<u32>, Vec<u64>)> {
    let run = |number: u32| json!([format!("{number:016x}.0.0.0"), number, "", 100]);
    let end = |number: u32| json!([number, format!("{number:016x}.0.0.0"), 1, "done", ""]);
    let running = list([&run(1), &run(2)], odd);
    let finished = list([&end(3), &end(4)], odd);
    let body = format!(r#"{{"clock_ms": 5, "running": {running}, "finished": {finished}}}"#);
    match parse_run_list(body.as_bytes()) {
        HoldResponse::RunList { running, ended, .. } => Some((
            running.iter().map(|run| run.number).collect(),
            ended.iter().map(|end| end.sequence).collect(),
        )),
        _ => None,
    }
}

/// A worker got no task as long as its run list had an odd row.
#[test]
fn an_odd_row_leaves_the_run_list_readable() {
    for odd in odd_rows() {
        let lists = parse_lists(&odd).map(|(runs, ends)| (runs.len(), ends));
        assert_eq!(lists, Some((2, vec![3, 4])), "{odd}");
    }
}

/// A run whose row has an odd value that isn't used would count as lost, and start a second time.
#[test]
fn a_run_with_an_odd_unused_value_is_listed() {
    for odd in odd_rows() {
        let running = format!(r#"[["0000000000000001.0.0.0", 2, {odd}, {odd}]]"#);
        let body = format!(r#"{{"clock_ms": 5, "running": {running}, "finished": []}}"#);
        let HoldResponse::RunList { running, .. } = parse_run_list(body.as_bytes()) else {
            panic!("{odd}");
        };
        assert_eq!(running.len(), 1, "{odd}");
    }
}

fn config_of(routes: &str, services: &str) -> Option<(usize, usize)> {
    let text = format!(r#"{{"version": 12, "routes": {routes}, "services": {services}}}"#);
    let document = Document {
        revision: 9,
        text: Arc::from(text.into_bytes()),
    };
    let config = parse_config(&document).ok()?;
    Some((config.routes.len(), config.services.len()))
}

/// A configuration with one odd route would never come into force.
#[test]
fn an_odd_row_leaves_the_configuration_readable() {
    let route = |name: &str| json!({"name": name, "host": "a.example", "path_prefix": format!("/{name}/"), "service": "s"});
    let service = |name: &str| json!({"name": name});
    for odd in odd_rows() {
        let routes = list([&route("r"), &route("t")], &odd);
        let services = list([&service("s"), &service("u")], "7");
        assert_eq!(config_of(&routes, &services), Some((2, 2)), "{odd}");
    }
}

#[test]
fn an_odd_value_makes_only_its_heartbeat_unreadable() {
    for odd in odd_rows() {
        let text = heartbeat().to_string();
        let unused = text.replacen('{', &format!(r#"{{"colour": {odd}, "#), 1);
        assert!(parse_heartbeat(unused.as_bytes()).is_some(), "{odd}");
        let mut body = heartbeat();
        body["capacity"] = json!("odd");
        let used = body.to_string().replace(r#""odd""#, &odd);
        assert!(parse_heartbeat(used.as_bytes()).is_none(), "{odd}");
    }
}

/// A store whose tables hold these rows, and nothing else.
#[derive(Debug)]
struct FixedStore {
    rows: String,
}

#[async_trait]
impl HttpHandler for FixedStore {
    async fn handle(&self, _: HttpRequest) -> HttpResponse {
        let body = format!(r#"{{"rows": {}, "ver": 9, "now_ms": 1}}"#, self.rows);
        HttpResponse::json(StatusCode::OK, body)
    }
}

async fn serve(handler: impl HttpHandler + 'static) -> RowsStore {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
    let addr = listener.local_addr().expect("address");
    let (stop, stopped) = watch::channel(false);
    tokio::spawn(async move {
        // Connections close when the sender is dropped.
        let _stop = stop;
        serve_http(listener, Arc::new(handler), stopped).await;
    });
    RowsStore::new(PlatformHttpClient::new(addr, "store", metrics()))
}

fn row(key: &str, value: &str) -> Value {
    json!({"key": key, "ver": 4, "value": STANDARD.encode(value)})
}

async fn evacuated(store: &RowsStore) -> Vec<String> {
    let zones = store.read_evacuated_zones().await.expect("zones").evacuated;
    zones.into_iter().collect()
}

/// Zones that were evacuated were not followed beside an odd row.
#[tokio::test]
async fn an_odd_row_leaves_the_operators_rows_readable() {
    let undecodable = json!({"key": "config", "ver": 5, "value": "no base64!"}).to_string();
    for odd in odd_rows().into_iter().chain([undecodable]) {
        let zone = row("evacuate/north", "{}");
        let config = row("config", r#"{"version": 3}"#);
        let rows = list([&config, &zone], &odd);
        let store = serve(FixedStore { rows }).await;
        let read = store.read_operator_rows().await.expect("rows");
        assert!(read.zones.evacuated.contains("north"), "{odd}");
        assert!(read.document.is_some(), "{odd}");
        assert_eq!(evacuated(&store).await, ["north"], "{odd}");
        let change = store.wait_for_operator_change(1, 0).await.expect("change");
        let OperatorChange::Rows { zones, .. } = change else {
            panic!("{odd}");
        };
        assert_eq!(zones.get("north"), Some(&true), "{odd}");
    }
}

/// An agent with an odd row in its list would know no entry.
#[tokio::test]
async fn an_odd_row_leaves_the_list_of_entries_readable() {
    let keys = ["10.0.0.1:70000", "entry", "", "[::1", "10.0.0.1:-1"];
    let odd_keys = keys.map(|key| row(key, "").to_string());
    for odd in odd_rows().into_iter().chain(odd_keys) {
        let rows = list([&row("10.0.0.1:8166", ""), &row("10.0.0.2:8166", "")], &odd);
        let store = serve(FixedStore { rows }).await;
        let replica = EntryListReplica::ALL[0];
        let (entries, _) = store.read_entries(replica).await.expect("entries");
        let expected: Vec<SocketAddr> = ["10.0.0.1:8166", "10.0.0.2:8166"]
            .map(|entry| entry.parse().expect("address"))
            .to_vec();
        assert_eq!(entries, expected, "{odd}");
        let update = store.wait_for_entry_list_update(replica, 1, 0).await;
        let change = |entry| EntryListChange {
            entry,
            is_listed: true,
        };
        let changes = expected.into_iter().map(change).collect();
        let expected = EntryListUpdate::Changes {
            version: 9,
            changes,
        };
        assert_eq!(update.expect("update"), expected, "{odd}");
    }
}

/// An agent took the first row of its part for its view.
#[tokio::test]
async fn an_odd_row_leaves_the_stored_view_readable() {
    let view = json!({
        "life": {"id": "w-1", "born_unix_ms": 5}, "service": "s", "availability_zone": "north",
        "capacity": {"cpu_milli": 1, "memory_mb": 1, "accelerators": 0}, "labels": [], "draining": false
    });
    let expected: WorkerView = serde_json::from_value(view.clone()).expect("view");
    let other = row("another", &nested(200));
    for odd in odd_rows() {
        let rows = list([&other, &row("worker", &view.to_string())], &odd);
        let store = serve(FixedStore { rows }).await;
        let read = store.read_worker("agent").await.expect("row");
        assert_eq!(read.as_ref(), Some(&expected), "{odd}");
    }
    for value in ["", "{}", "7", &nested(4_000)] {
        let rows = list([&other, &row("worker", value)], "7");
        let store = serve(FixedStore { rows }).await;
        assert_eq!(store.read_worker("agent").await.expect("row"), None);
    }
}

/// A store that returns its rows one a page.
#[derive(Debug)]
struct PagedStore {
    keys: Vec<&'static str>,
}

#[async_trait]
impl HttpHandler for PagedStore {
    async fn handle(&self, request: HttpRequest) -> HttpResponse {
        let from = request.query.split("&from=").nth(1).unwrap_or_default();
        let from: String = percent_encoding::percent_decode_str(from)
            .decode_utf8_lossy()
            .into_owned();
        let position = self.keys.iter().position(|key| **key >= *from);
        let rows: Vec<Value> = position
            .map(|position| row(self.keys[position], ""))
            .into_iter()
            .collect();
        let truncated = position.is_some_and(|position| position + 1 < self.keys.len());
        let body = json!({"rows": rows, "truncated": truncated, "ver": 9});
        HttpResponse::json(StatusCode::OK, body.to_string())
    }
}

/// A key with characters of a query ended the read at its page, or repeated it.
#[tokio::test]
async fn pages_continue_after_any_key() {
    let keys = vec![
        "evacuate/a&to=b",
        "evacuate/a b%",
        "evacuate/n#?",
        "evacuate/ü",
    ];
    let mut keys = keys;
    keys.sort_unstable();
    let count = keys.len();
    let store = serve(PagedStore { keys }).await;
    let rows = store.read_operator_rows().await.expect("rows");
    assert_eq!(rows.zones.evacuated.len(), count);
}

/// Any JSON value.
fn any_value() -> impl Strategy<Value = String> {
    let leaf = prop_oneof![
        Just("null".to_owned()),
        any::<bool>().prop_map(|value| value.to_string()),
        any::<i64>().prop_map(|value| value.to_string()),
        any::<u64>().prop_map(|value| value.to_string()),
        (any::<i32>(), any::<i16>()).prop_map(|(value, exponent)| format!("{value}e{exponent}")),
        any::<String>().prop_map(|text| Value::from(text).to_string()),
    ];
    leaf.prop_recursive(6, 40, 5, |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..6)
                .prop_map(|items| format!("[{}]", items.join(","))),
            prop::collection::vec((any::<String>(), inner), 0..6).prop_map(|fields| {
                let field =
                    |(name, value): (String, String)| format!("{}:{value}", Value::from(name));
                let fields: Vec<String> = fields.into_iter().map(field).collect();
                format!("{{{}}}", fields.join(","))
            }),
        ]
    })
}

/// The rows beside one of any form are as they were.
#[test]
fn any_row_leaves_the_others_as_they_are() {
    let config = Config {
        cases: 2_000,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    runner
        .run(&any_value(), |odd| {
            let lists = parse_lists(&odd);
            let (runs, ends) = lists.ok_or_else(|| TestCaseError::fail("unreadable"))?;
            prop_assert!(runs.contains(&1) && runs.contains(&2));
            prop_assert!(ends.contains(&3) && ends.contains(&4));
            let route = |name: &str| {
                json!({"name": name, "host": "a.example", "path_prefix": name, "service": "s"})
            };
            let routes = list([&route("r"), &route("t")], &odd);
            prop_assert!(config_of(&routes, "[]").is_some_and(|(routes, _)| routes >= 2));
            Ok(())
        })
        .expect("the property holds");
}
