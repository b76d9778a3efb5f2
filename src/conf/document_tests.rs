//! Tests of document validation and of merging documents by section.

use {
    super::{
        DocumentRules, merge_sections, read_document, read_document_with, section_texts,
        split_version_comment, with_version_comment, with_zone_state,
    },
    crate::core::config::{SECTIONS, ZoneState},
    proptest::{
        prelude::*,
        test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
    },
    std::{collections::BTreeSet, fmt::Write},
};

const EXAMPLE: &str = include_str!("../../examples/hafsteinsson.toml");

const DOCUMENT: &str = r#"# The whole of it.
[zones.grindavik]
region = "southwest"
state = "open" # since spring

[zones.keflavik]
region = "southwest"

[capacity.workers.w01]
availability_zone = "grindavik"
rack = "r1"
slots = 8
memory_mb = 1024

# Comes in spring.
[capacity.workers.w02]
availability_zone = "keflavik"
rack = "r2"
slots = 8
memory_mb = 1024
accelerators = 2
arrived = false

[services.crew-share]
availability_zones = ["grindavik", "keflavik"]

[quotas.audit]
slots = 16
"#;

fn faults(text: &str, rules: &DocumentRules) -> Vec<String> {
    read_document_with(text, rules)
        .err()
        .unwrap_or_default()
        .iter()
        .map(|fault| format!("{} [{}]", fault, fault.section))
        .collect()
}

fn proptest_config(cases: u32) -> Config {
    Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    }
}

macro_rules! rejected {
    ($($name:ident: $from:literal => $to:literal: $faults:expr;)+) => {
        $(
            #[test]
            fn $name() {
                let text = DOCUMENT.replace($from, $to);
                assert_ne!(text, DOCUMENT, "the case does not change the document");
                let expected: &[&str] = &$faults;
                assert_eq!(faults(&text, &DocumentRules::Complete), expected);
            }
        )+
    };
}

rejected! {
    unknown_field: "rack = \"r1\"" => "rakc = \"r1\"": [
        "line 9: capacity.workers.w01.rack: is required [capacity]",
        "line 11: capacity.workers.w01.rakc: unknown field [capacity]",
    ];
    unknown_section: "[quotas.audit]" => "[qoutas.audit]": [
        "line 27: qoutas: unknown field [qoutas]",
    ];
    unknown_zone: "grindavik\"\nrack" => "grindavk\"\nrack": [
        "line 10: capacity.workers.w01.availability_zone: no availability zone is named \"grindavk\" [capacity]",
    ];
    unknown_zone_of_a_service: "\"keflavik\"]" => "\"keflavk\"]": [
        "line 25: services.crew-share.availability_zones: no availability zone is named \"keflavk\" [services]",
    ];
    service_that_no_worker_could_run: "\"keflavik\"]" => "\"keflavik\"]\naccelerators = 3": [
        "line 25: services.crew-share.availability_zones: no worker of these availability zones could ever run this service [services]",
    ];
    quota_above_the_declared_capacity: "slots = 16" => "slots = 17": [
        "line 28: quotas.audit.slots: is above the 16 slots of all declared workers [quotas]",
    ];
    duplicate_name: "[zones.keflavik]" => "[zones.grindavik]": [
        "line 6: duplicate key [zones]",
    ];
    inline_section_is_checked_too: "[quotas.audit]\nslots = 16" => "[quotas]\naudit = { slots = 99 }": [
        "line 28: quotas.audit.slots: is above the 16 slots of all declared workers [quotas]",
    ];
}

#[test]
fn faults_of_all_sections_are_reported_together() {
    let text = DOCUMENT
        .replace("slots = 16", "slots = 17")
        .replace(
            "slots = 8\nmemory_mb = 1024\n\n",
            "slots = 0\nmemory_mb = 1024\n\n",
        )
        .replace("\"keflavik\"]", "\"keflavk\"]");
    let found = faults(&text, &DocumentRules::Complete);
    assert_eq!(found.len(), 3, "{found:?}");
}

#[test]
fn worker_that_has_not_arrived_counts_as_capacity() {
    let needs_it = DOCUMENT.replace("\"keflavik\"]", "\"keflavik\"]\naccelerators = 2");
    let document = read_document(&needs_it).expect("no faults");
    assert!(!document.workers["w02"].arrived);
    assert_eq!(document.declared_slots(), 16);
}

#[test]
fn last_open_zone_closes_only_when_allowed() {
    let open_now: BTreeSet<String> = ["grindavik".to_owned()].into();
    let text = DOCUMENT
        .replace("state = \"open\"", "state = \"out\"")
        .replace("[zones.keflavik]\n", "[zones.keflavik]\nstate = \"out\"\n");
    let change = DocumentRules::Change { open_now };
    assert_eq!(
        faults(&text, &change),
        [
            "line 4: zones.grindavik.state: closes the last open availability zone; pass --close-last-zone to allow it [zones]"
        ]
    );
    assert!(faults(&text, &DocumentRules::Complete).is_empty());
    assert!(faults(DOCUMENT, &change).is_empty());
    let closed = DocumentRules::Change {
        open_now: BTreeSet::new(),
    };
    assert!(faults(&text, &closed).is_empty(), "no zone was open before");
}

#[test]
fn accepted_document_is_read_despite_rules_added_later() {
    let text = DOCUMENT.replace("slots = 16", "slots = 17");
    assert!(read_document(&text).is_err());
    assert!(read_document_with(&text, &DocumentRules::Accepted).is_ok());
}

#[test]
fn zone_state_edit_leaves_other_text_unchanged() {
    let out = with_zone_state(DOCUMENT, "grindavik", ZoneState::Out).expect("zone");
    let expected = DOCUMENT.replace("\"open\" # since", "\"out\" # since");
    assert_eq!(out, expected);
    assert_eq!(with_zone_state(DOCUMENT, "reykjavik", ZoneState::Out), None);
}

#[test]
fn version_comment_does_not_change_the_document() {
    let shown = with_version_comment(7, EXAMPLE);
    assert_eq!(split_version_comment(&shown), (Some(7), EXAMPLE));
    assert_eq!(split_version_comment(EXAMPLE), (None, EXAMPLE));
    assert_eq!(read_document(&shown), read_document(EXAMPLE));
}

/// Builds a document with comments and blank lines whose sections are interleaved in any order.
fn generate_document(seed: &[(usize, u8, bool)], author: &str) -> String {
    let mut text = String::new();
    for (number, (section, value, comment)) in seed.iter().enumerate() {
        if *comment {
            writeln!(text, "# {author} says [{number}]\n").expect("text");
        }
        match section % 4 {
            0 => writeln!(text, "[capacity.workers.w{number}]\nslots = {value} # [x]"),
            1 => writeln!(
                text,
                "[services.s{number}]\nnote = \"\"\"\n# [zones.a]\n\n\"\"\""
            ),
            2 => writeln!(text, "[zones.z{number}]\nregion = \"{value}\"\n"),
            _ => writeln!(text, "  [quotas.q{number}]\nslots = {value}"),
        }
        .expect("text");
    }
    text
}

/// A merge must not lose or move comments: each section equals its source byte for byte, and the
/// result is valid TOML.
#[test]
fn merge_copies_each_section_byte_for_byte() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[6; 32]);
    let mut runner = TestRunner::new_with_rng(proptest_config(1_000), rng);
    let tables = || prop::collection::vec((0_usize..4, any::<u8>(), any::<bool>()), 0..12);
    runner
        .run(&(tables(), tables(), 0_u8..16), |(current, draft, mask)| {
            let current = generate_document(&current, "theirs");
            let draft = generate_document(&draft, "mine");
            let changed: Vec<&'static str> = SECTIONS
                .into_iter()
                .enumerate()
                .filter(|(index, _)| mask & (1 << index) != 0)
                .map(|(_, section)| section)
                .collect();
            let merged = merge_sections(&current, &draft, &changed);
            prop_assert!(
                toml_edit::Document::parse(merged.as_str()).is_ok(),
                "{}",
                merged
            );
            let (current_texts, draft_texts) = (section_texts(&current), section_texts(&draft));
            let merged_texts = section_texts(&merged);
            for section in SECTIONS {
                let expected = if changed.contains(&section) {
                    &draft_texts
                } else {
                    &current_texts
                };
                prop_assert_eq!(
                    merged_texts.get(section),
                    expected.get(section),
                    "{}",
                    merged
                );
            }
            Ok(())
        })
        .expect("sections stay intact");
}
