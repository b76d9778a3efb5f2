//! Tests of the platform's formats and calls.

mod odd_rows;
mod silent_connections;

use {
    super::{
        PlatformHttpClient, RowsStore, WorkerReport, job_body::parse_job, parse_config,
        parse_worker_report,
    },
    crate::{
        adapters::metrics::OtelMetrics,
        core::{document::Document, execution::LeavingWorker, work::UnsupportedFeature},
        ports::{Metrics, SiteStore},
    },
    base64::{Engine, engine::general_purpose::STANDARD},
    serde_json::{Value, json},
    std::{sync::Arc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpListener,
    },
};

fn metrics() -> Arc<dyn Metrics> {
    Arc::new(OtelMetrics::new().expect("metrics"))
}

const HEARTBEAT: &str = "/v1/Instances.Heartbeat/w-1";

fn heartbeat() -> Value {
    json!({
        "service": "shares", "address": "10.0.0.9:8080", "zone": "north", "version": "v1", "slots": 8,
        "state": "ready", "cold_remaining_ms": 0, "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 1},
        "labels": ["a", "r1-3"], "clock_ms": 482_113, "seq": 4, "born": 1_700_000_000_000_u64
    })
}

fn parse_heartbeat(body: &[u8]) -> Option<WorkerReport> {
    parse_worker_report(HEARTBEAT, body)?.ok()
}

#[test]
fn a_heartbeat_is_parsed_completely() {
    let body = heartbeat().to_string();
    let Some(WorkerReport::Heartbeat { view, sequence }) = parse_heartbeat(body.as_bytes()) else {
        panic!("expected a heartbeat");
    };
    assert_eq!(sequence, 4);
    assert_eq!(view.life.id, "w-1");
    assert_eq!(view.life.born_unix_ms, 1_700_000_000_000);
    assert_eq!(view.capacity.cpu_milli, 16_000);
    assert_eq!(view.capacity.accelerators, 1);
    assert_eq!(view.labels, ["a", "r1-3"]);
    assert!(!view.draining);
}

/// A malformed heartbeat must not register a worker: its tasks would never run.
macro_rules! invalid_heartbeats {
    ($($name:ident: $damage:expr;)+) => {
        $(
            #[test]
            fn $name() {
                let mut body = heartbeat();
                let damage: fn(&mut Value) = $damage;
                damage(&mut body);
                assert_eq!(parse_heartbeat(body.to_string().as_bytes()), None);
            }
        )+
    };
}

invalid_heartbeats! {
    an_unknown_state_is_rejected: |body| body["state"] = json!("resting");
    a_capacity_that_is_text_is_rejected: |body| body["capacity"]["cpu"] = json!("much");
    a_missing_zone_is_rejected: |body| body["zone"] = Value::Null;
    a_negative_sequence_is_rejected: |body| body["seq"] = json!(-1);
    a_fractional_start_time_is_rejected: |body| body["born"] = json!(1.5);
    a_body_that_is_a_list_is_rejected: |body| *body = json!([1, 2]);
    a_missing_address_is_rejected: |body| remove(body, "address");
    an_address_that_is_a_number_is_rejected: |body| body["address"] = json!(8_080);
    a_missing_version_is_rejected: |body| remove(body, "version");
    a_version_that_is_a_number_is_rejected: |body| body["version"] = json!(1);
    a_missing_number_of_slots_is_rejected: |body| remove(body, "slots");
    a_number_of_slots_that_is_text_is_rejected: |body| body["slots"] = json!("8");
    a_negative_number_of_slots_is_rejected: |body| body["slots"] = json!(-8);
    a_missing_cold_time_is_rejected: |body| remove(body, "cold_remaining_ms");
    a_cold_time_that_is_text_is_rejected: |body| body["cold_remaining_ms"] = json!("0");
    a_cold_time_that_is_null_is_rejected: |body| body["cold_remaining_ms"] = Value::Null;
    a_missing_start_time_is_rejected: |body| remove(body, "born");
    a_start_time_that_is_text_is_rejected: |body| body["born"] = json!("1700000000000");
    a_missing_service_is_rejected: |body| remove(body, "service");
    a_missing_state_is_rejected: |body| remove(body, "state");
    a_missing_capacity_is_rejected: |body| remove(body, "capacity");
    a_missing_sequence_is_rejected: |body| remove(body, "seq");
    missing_labels_are_rejected: |body| remove(body, "labels");
    labels_that_are_null_are_rejected: |body| body["labels"] = Value::Null;
    labels_that_are_numbers_are_rejected: |body| body["labels"] = json!([1]);
    a_clock_that_is_text_is_rejected: |body| body["clock_ms"] = json!("482113");
    labels_that_are_text_are_rejected: |body| body["labels"] = json!("a");
}

fn remove(body: &mut Value, field: &str) {
    body.as_object_mut().expect("an object").remove(field);
}

/// Later versions of the format may add fields, and a worker may have no label.
#[test]
fn a_heartbeat_with_more_fields_and_with_an_empty_list_of_labels_is_valid() {
    let mut body = heartbeat();
    body["labels"] = json!([]);
    body["remaining_ms"] = json!(2_000);
    body["colour"] = json!({"name": "blue"});
    assert!(parse_heartbeat(body.to_string().as_bytes()).is_some());
}

/// An empty name addresses no worker: calls that name it would reach any.
#[test]
fn a_report_without_a_name_is_rejected() {
    let body = heartbeat().to_string();
    let parse = |path| parse_worker_report(path, body.as_bytes());
    assert!(parse("/v1/Instances.Heartbeat/").is_some_and(|report| report.is_err()));
    assert!(parse("/v1/Instances.Leave/").is_some_and(|report| report.is_err()));
}

#[test]
fn bytes_that_are_not_utf8_are_rejected() {
    assert_eq!(parse_heartbeat(&[0xff, 0xfe, 0x00]), None);
}

/// A late announcement must be told from one of the current incarnation.
#[test]
fn a_leave_names_the_incarnation() {
    let leave = |body: &[u8]| parse_worker_report("/v1/Instances.Leave/w-1", body)?.ok();
    let announcement = |born_unix_ms| {
        Some(WorkerReport::Leave(LeavingWorker {
            id: "w-1".to_owned(),
            born_unix_ms,
        }))
    };
    assert_eq!(leave(br#"{"born": 1700}"#), announcement(Some(1_700)));
    assert_eq!(leave(b""), announcement(None));
    assert_eq!(leave(b"{}"), announcement(None));
    assert_eq!(leave(br#"{"born": "soon"}"#), None);
}

macro_rules! unsupported_jobs {
    ($($name:ident: $change:expr => $feature:expr;)+) => {
        $(
            #[test]
            fn $name() {
                let mut body = json!({"spec": "x", "best_effort": true, "steps": [{"count": 2, "cpu": 500}]});
                let change: fn(&mut Value) = $change;
                change(&mut body);
                let job = parse_job(body.to_string().as_bytes()).expect("valid job");
                assert_eq!(job.unsupported, $feature);
            }
        )+
    };
}

unsupported_jobs! {
    a_best_effort_job_is_supported: |_| {} => None;
    a_durable_job_is_unsupported: |body| body["best_effort"] = json!(false) =>
        Some(UnsupportedFeature::Durable);
    a_gang_is_unsupported: |body| body["steps"][0]["gang"] = json!(true) => Some(UnsupportedFeature::Gang);
    a_recurring_job_is_unsupported: |body| body["run_count"] = json!(3) => Some(UnsupportedFeature::Recurring);
    a_long_running_job_is_unsupported: |body| body["long_running"] = json!(true) =>
        Some(UnsupportedFeature::LongRunning);
}

/// Sums of estimates must not overflow.
#[test]
fn an_estimate_is_a_year_at_most() {
    let body =
        json!({"spec": "x", "best_effort": true, "steps": [{"count": 2, "estimate_ms": u64::MAX}]});
    let job = parse_job(body.to_string().as_bytes()).expect("valid job");
    assert_eq!(job.steps[0].estimate_ms, 365 * 24 * 3_600 * 1_000);
}

/// A document with fields of a newer version is accepted; one without a valid version number is rejected.
#[test]
fn unknown_fields_of_a_document_are_ignored() {
    let stored = |document: &Value| Document {
        revision: 9,
        text: Arc::from(document.to_string().into_bytes()),
    };
    let mut document = json!({
        "version": 12, "colour": "blue",
        "routes": [{"name": "r", "host": "a.example", "path_prefix": "/r/", "service": "shares", "new": [1]}]
    });
    let config = parse_config(&stored(&document)).expect("valid document");
    assert_eq!((config.version, config.routes.len()), (12, 1));
    document["version"] = json!("twelve");
    assert!(parse_config(&stored(&document)).is_err());
}

/// A large document on a busy link takes longer than the call timeout.
#[tokio::test]
async fn a_slow_response_body_is_read_completely() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
    let addr = listener.local_addr().expect("address");
    let document = json!({"version": 3, "padding": "x".repeat(10_000)}).to_string();
    let row = json!({"key": "config", "ver": 7, "value": STANDARD.encode(&document)});
    let body = json!({"rows": [row], "truncated": false, "ver": 9}).to_string();
    tokio::spawn(async move {
        let (mut socket, _) = listener.accept().await.expect("connection");
        // The request fits into one read.
        let read = socket.read(&mut [0; 1_024]).await.expect("request");
        assert!(read > 0);
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
        socket.write_all(head.as_bytes()).await.expect("head");
        for part in body.as_bytes().chunks(body.len() / 8 + 1) {
            tokio::time::sleep(Duration::from_millis(200)).await;
            socket.write_all(part).await.expect("part");
        }
    });
    let store = RowsStore::new(PlatformHttpClient::new(addr, "store", metrics()));
    let rows = store.read_operator_rows().await.expect("rows");
    let text = rows.document.expect("valid document").text;
    assert_eq!(&*text, document.as_bytes());
}
