//! Tests of settings files and of the example documents.

use super::{EntrySettings, SiteEntrySettings, TableReader, read_document};

const ENTRY: &str = r#"
name = "entry-1"
availability_zone = "grindavik"
client_listen = "127.0.0.1:0"
peer_listen = "127.0.0.1:0"
platform = "127.0.0.1:7000"
"#;

const EXAMPLES: [&str; 2] = [
    include_str!("../../examples/hafsteinsson.toml"),
    include_str!("../../examples/chikushi.toml"),
];

#[test]
fn example_documents_are_valid() {
    for (text, zones) in EXAMPLES.into_iter().zip([4, 3]) {
        let document = read_document(text).expect("no faults");
        assert_eq!(document.zones.len(), zones);
        assert_eq!(document.workers.len(), 11);
        assert!(document.workers.values().all(|worker| worker.slots == 8));
    }
}

const DOCUMENT: &str = r#"
[zones.grindavik]
region = "southwest"

[capacity.workers.w01]
availability_zone = "grindavik"
rack = "r1"
slots = 8
memory_mb = 262144

[services.crew-share]
availability_zones = ["grindavik"]
"#;

macro_rules! fault_cases {
    ($read:expr; $($name:ident: $text:expr => $faults:expr;)+) => {
        $(
            #[test]
            fn $name() {
                let faults: Vec<String> = $read(($text).as_ref())
                    .err()
                    .unwrap_or_default()
                    .iter()
                    .map(ToString::to_string)
                    .collect();
                let expected: &[&str] = &$faults;
                assert_eq!(faults, expected);
            }
        )+
    };
}

fn read_entry(text: &str) -> Result<EntrySettings, Vec<super::Fault>> {
    TableReader::read_text(text, EntrySettings::read)
}

fault_cases! {
    read_entry;
    entry_settings_with_defaults_are_valid: ENTRY => [];
    all_faults_of_entry_settings_are_reported_together:
        ENTRY.replace("\"127.0.0.1:7000\"", "7000").replace("name = \"entry-1\"", "nmae = \"x\"")
        + "head_poll_ms = 1\n" => [
            "line 1: name: is required",
            "line 2: nmae: unknown field",
            "line 6: platform: must be a string",
            "line 6: platform: must be an IP number with a port, such as 127.0.0.1:7000",
            "line 7: head_poll_ms: must be a whole number from 50 to 2000",
        ];
    host_names_are_rejected: ENTRY.replace("127.0.0.1:7000", "localhost:7000") => [
        "line 6: platform: must be an IP number with a port, such as 127.0.0.1:7000",
    ];
}

fault_cases! {
    read_document;
    minimal_document_is_valid: DOCUMENT => [];
    syntax_error_reports_its_line: DOCUMENT.replace("slots = 8", "slots = = 8") => [
        "line 8: extra `=`, expected nothing",
    ];
    unknown_zone_of_a_worker: DOCUMENT.replace("zone = \"grindavik\"", "zone = \"grindavk\"") => [
        "line 6: capacity.workers.w01.availability_zone: no availability zone is named \"grindavk\"",
        "line 12: services.crew-share.availability_zones: no worker of these availability zones could ever run this service",
    ];
    unknown_field_of_a_service: format!("{DOCUMENT}prioritty = 3\n") => [
        "line 13: services.crew-share.prioritty: unknown field",
    ];
}

const SITE_ENTRY: &str = r#"
name = "entry-1"
availability_zone = "north"
client_listen = "127.0.0.1:0"
ready_listen = "127.0.0.1:0"
link_listen = "127.0.0.1:0"
metrics_listen = "127.0.0.1:0"
store = "127.0.0.1:7000"
"#;

fn read_site_entry(text: &str) -> Result<SiteEntrySettings, Vec<super::Fault>> {
    TableReader::read_text(text, SiteEntrySettings::read)
}

/// A mistyped penalty would send tasks to the wrong rack without notice.
const PENALTY_FAULT: &str = "line 9: remote_penalty: must be a number from 1.0 to 100.0";

fault_cases! {
    read_site_entry;
    a_penalty_below_one_is_rejected: format!("{SITE_ENTRY}remote_penalty = 0.9\n") => [PENALTY_FAULT];
    a_penalty_above_a_hundred_is_rejected:
        format!("{SITE_ENTRY}remote_penalty = 100.1\n") => [PENALTY_FAULT];
    a_penalty_that_is_not_a_number_is_rejected:
        format!("{SITE_ENTRY}remote_penalty = nan\n") => [PENALTY_FAULT];
    a_penalty_as_text_is_rejected:
        format!("{SITE_ENTRY}remote_penalty = \"3.0\"\n") => [PENALTY_FAULT];
}

fault_cases! {
    read_site_entry;
    limits_that_use_up_the_descriptors_are_rejected:
        format!("{SITE_ENTRY}max_descriptors = 100\nmax_connections = 60\nmax_peer_connections = 40\n") => [
            "line 10: max_connections: 60 and max_peer_connections of 40 must leave some of the 100 descriptors",
        ];
    too_few_descriptors_are_rejected: format!("{SITE_ENTRY}max_descriptors = 63\n") => [
        "line 9: max_descriptors: must be a whole number from 64 to 1048576",
    ];
}

/// Limits on connections by the memory and descriptors of the host.
fn accepted(settings: &str) -> super::connection_settings::ConnectionSettings {
    let settings = read_site_entry(&format!("{SITE_ENTRY}{settings}"));
    settings.expect("no faults").site.accepted
}

#[test]
fn limits_on_connections_follow_from_the_host() {
    let small = accepted("memory_mb = 120\nmax_descriptors = 3075\n");
    assert_eq!(small.http.max_connections, 1_025);
    assert_eq!(small.http.max_buffered_bytes, 15 << 20);
    assert_eq!(small.peers.max_connections, 1_322);
    let little_memory = accepted("memory_mb = 16\nmax_descriptors = 3075\n");
    assert_eq!(little_memory.http.max_connections, 256);
    let chosen =
        accepted("max_descriptors = 3075\nmax_connections = 9\nmax_buffered_bytes = 70000\n");
    assert_eq!(chosen.http.max_connections, 9);
    assert_eq!(chosen.http.max_buffered_bytes, 70_000);
}

macro_rules! penalty_cases {
    ($($name:ident: $text:expr => $permille:expr;)+) => {
        $(
            #[test]
            fn $name() {
                let settings = read_site_entry(&format!("{SITE_ENTRY}{}", $text));
                let settings = settings.expect("no faults");
                assert_eq!(settings.remote_penalty_permille, $permille);
            }
        )+
    };
}

penalty_cases! {
    without_a_penalty_the_rack_is_ignored: "" => 1_000;
    a_penalty_has_decimals: "remote_penalty = 1.5\n" => 1_500;
    a_penalty_may_be_a_whole_number: "remote_penalty = 3\n" => 3_000;
}
