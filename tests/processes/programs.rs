//! Command lines, settings, exit codes and log formats of all programs.

use {
    super::support::{Deployment, Layout, TOKEN},
    std::{
        fs,
        path::PathBuf,
        process::{Command, Output},
    },
};

const PROGRAMS: [&str; 5] = [
    env!("CARGO_BIN_EXE_rattanslip"),
    env!("CARGO_BIN_EXE_rattanslip-entry"),
    env!("CARGO_BIN_EXE_rattanslip-agent"),
    env!("CARGO_BIN_EXE_rattanslip-load"),
    env!("CARGO_BIN_EXE_rattanslip-standin"),
];

fn run(program: &str, args: &[&str]) -> Output {
    Command::new(program).args(args).output().expect("program")
}

fn file(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("rattanslip-{}-{name}", std::process::id()));
    fs::write(&path, text).expect("file");
    path
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn every_program_has_help_and_version() {
    for program in PROGRAMS {
        for flag in ["--help", "--version"] {
            let output = run(program, &[flag]);
            assert!(output.status.success(), "{program} {flag}");
            assert!(!output.stdout.is_empty(), "{program} {flag}");
        }
    }
}

/// All faults are reported at once, with line and field.
#[test]
fn bad_settings_exit_with_code_2_and_list_all_faults() {
    let path = file(
        "bad-agent.toml",
        "worker = 7\nslots = 0\ncolour = \"red\"\n",
    );
    let path = path.to_str().expect("path");
    let output = run(
        env!("CARGO_BIN_EXE_rattanslip-agent"),
        &["--settings", path],
    );
    assert_eq!(output.status.code(), Some(2));
    let text = stderr(&output);
    for fault in [
        "line 1: worker: must be a string",
        "line 2: slots: must be a whole number from 1 to 1024",
        "line 3: colour: unknown field",
        "peer_listen: is required",
        "entries: must name at least one entry",
    ] {
        assert!(text.contains(fault), "{fault:?} is missing from:\n{text}");
    }
    let checked = run(
        env!("CARGO_BIN_EXE_rattanslip"),
        &["check", "--kind", "agent", path],
    );
    assert_eq!(checked.status.code(), Some(2));
    assert_eq!(stderr(&checked), text, "check prints the same faults");
    let missing = run(
        env!("CARGO_BIN_EXE_rattanslip-entry"),
        &["--settings", "/no/such/file.toml"],
    );
    assert_eq!(missing.status.code(), Some(2));
}

#[test]
fn check_accepts_the_examples() {
    for name in ["hafsteinsson", "chikushi"] {
        let path = format!("{}/examples/{name}.toml", env!("CARGO_MANIFEST_DIR"));
        let output = run(env!("CARGO_BIN_EXE_rattanslip"), &["check", &path]);
        assert!(output.status.success(), "{}", stderr(&output));
    }
}

#[tokio::test]
async fn exit_codes_distinguish_rejected_from_unreachable_and_logs_are_json() {
    let layout = Layout {
        entry_settings: "log = { format = \"json\" }".to_owned(),
        ..Layout::default()
    };
    let deployment = Deployment::start(layout).await;
    let entry = deployment.entry_addrs[0].to_string();
    let rattanslip = |args: &[&str]| run(env!("CARGO_BIN_EXE_rattanslip"), args);
    let listed = rattanslip(&["--entry", &entry, "workers"]);
    assert!(listed.status.success());
    assert!(String::from_utf8_lossy(&listed.stdout).contains("w01"));
    let zone_out = |token| {
        rattanslip(&[
            "--entry", &entry, "--token", token, "zone", "out", "keflavik",
        ])
    };
    assert_eq!(zone_out("wrong-token").status.code(), Some(4));
    assert_eq!(zone_out(TOKEN).status.code(), Some(0));
    let unused_addr = super::support::free_addr().to_string();
    let unreachable = rattanslip(&["--entry", &unused_addr, "workers"]);
    assert_eq!(unreachable.status.code(), Some(3));
    let log = deployment.log("entry-0");
    assert!(!log.is_empty());
    for line in log.lines() {
        serde_json::from_str::<serde_json::Value>(line).expect("a JSON log line");
    }
}
