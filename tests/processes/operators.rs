//! Output and exit codes of the operator's command line.

use {
    super::support::{Deployment, Layout, TOKEN, eventually, get, try_request},
    serde_json::Value,
    std::{
        fs,
        path::PathBuf,
        process::{Child, Command, Output, Stdio},
        time::Duration,
    },
};

/// An operator with the section `zones` only; the name is also the token.
const NIGHT_SHIFT: &str = "night-shift";

/// Environment of an operator: the address of an entry and a folder for documents.
struct Shell {
    entry: String,
    folder: PathBuf,
}

impl Shell {
    fn of(deployment: &Deployment, name: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("rattanslip-{name}-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("folder");
        Self {
            entry: deployment.entry_addrs[0].to_string(),
            folder,
        }
    }

    fn command(&self, token: &str, args: &[&str]) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_rattanslip"));
        command
            .env("RATTANSLIP_ENTRY", &self.entry)
            .env("RATTANSLIP_TOKEN", token)
            .args(args);
        command
    }

    fn run(&self, token: &str, args: &[&str]) -> Output {
        self.command(token, args).output().expect("program")
    }

    /// Starts a command without waiting for it.
    fn start(&self, token: &str, args: &[&str]) -> Child {
        self.command(token, args)
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .expect("program")
    }

    /// Runs a command that must exit with this code; returns stdout, or stderr after a failure.
    fn expect(&self, code: i32, token: &str, args: &[&str]) -> String {
        let output = self.run(token, args);
        let printed = if code == 0 {
            String::from_utf8(output.stdout)
        } else {
            String::from_utf8(output.stderr)
        };
        let printed = printed.expect("text");
        assert_eq!(output.status.code(), Some(code), "{args:?}: {printed}");
        printed
    }

    fn file(&self, name: &str, text: &str) -> String {
        let path = self.folder.join(name);
        fs::write(&path, text).expect("file");
        path.to_str().expect("path").to_owned()
    }
}

impl Drop for Shell {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

async fn deployment() -> Deployment {
    let digest = blake3::hash(NIGHT_SHIFT.as_bytes()).to_hex();
    let layout = Layout {
        entries: 1,
        workers: 1,
        entry_settings: format!(
            "[operators.{NIGHT_SHIFT}]\ntoken_blake3 = \"{digest}\"\nsections = [\"zones\"]\n"
        ),
        ..Layout::default()
    };
    Deployment::start(layout).await
}

/// A declared worker that has not arrived yet.
const DECLARED_WORKER: &str = "[capacity.workers.w12]\navailability_zone = \"keflavik\"\nrack = \"r4\"\n\
                       slots = 8\nmemory_mb = 131072\narrived = false\n";

#[tokio::test]
async fn a_shown_document_is_edited_compared_and_applied() {
    let deployment = deployment().await;
    let shell = Shell::of(&deployment, "edit");
    let shown = shell.expect(0, TOKEN, &["show"]);
    assert!(
        shown.starts_with("# rattanslip version 1\n[zones."),
        "{shown}"
    );
    let unchanged = shell.file("same.toml", &shown);
    assert_eq!(
        shell.expect(0, TOKEN, &["apply", &unchanged]),
        "unchanged: version 1\n"
    );
    let edited = shell.file("edited.toml", &format!("{shown}{DECLARED_WORKER}"));
    assert!(
        shell
            .expect(0, TOKEN, &["check", &edited])
            .ends_with(": no faults\n")
    );
    let changes = "  worker w12 added: 8 slots, rack r4, availability zone keflavik, 131072 MB, not arrived\n";
    assert_eq!(
        shell.expect(0, TOKEN, &["diff", &edited]),
        format!("against version 1:\n{changes}")
    );
    assert_eq!(
        shell.expect(0, TOKEN, &["apply", &edited]),
        format!("accepted as version 2\n{changes}")
    );
    let listed = shell.expect(0, TOKEN, &["workers"]);
    let declared = listed
        .lines()
        .find(|line| line.starts_with("w12"))
        .expect("declared");
    assert!(declared.ends_with("(declared, not arrived)"), "{listed}");
    assert!(
        listed.lines().any(|line| line.starts_with("w01")),
        "{listed}"
    );
    let arrived = shell
        .expect(0, TOKEN, &["show"])
        .replace("arrived = false\n", "");
    let arrived = shell.file("arrived.toml", &arrived);
    assert_eq!(
        shell.expect(0, TOKEN, &["apply", &arrived]),
        "accepted as version 3\n  worker w12: not arrived -> arrived\n"
    );
    let listed = shell.expect(0, TOKEN, &["workers"]);
    assert!(listed.contains("(declared, silent)"), "{listed}");
}

#[tokio::test]
async fn zone_changes_are_recorded_in_the_history_with_their_author() {
    let deployment = deployment().await;
    let shell = Shell::of(&deployment, "zones");
    assert_eq!(
        shell.expect(0, NIGHT_SHIFT, &["zone", "out", "keflavik"]),
        "accepted as version 2\n  availability zone keflavik: open -> out\n"
    );
    assert_eq!(
        shell.expect(0, NIGHT_SHIFT, &["zone", "out", "keflavik"]),
        "unchanged: version 2\n"
    );
    shell.expect(0, NIGHT_SHIFT, &["zone", "out", "grindavik"]);
    let rejected = shell.expect(2, NIGHT_SHIFT, &["zone", "out", "hafnarfjordur"]);
    assert!(
        rejected.contains("zones.hafnarfjordur.state: closes the last open availability zone"),
        "{rejected}"
    );
    shell.expect(0, NIGHT_SHIFT, &["zone", "out", "--last", "hafnarfjordur"]);
    shell.expect(0, NIGHT_SHIFT, &["zone", "in", "keflavik"]);
    shell.expect(4, NIGHT_SHIFT, &["zone", "out", "reykjavik"]);
    let history = shell.expect(0, TOKEN, &["history"]);
    let lines: Vec<Vec<&str>> = history
        .lines()
        .map(|line| line.split_whitespace().collect())
        .collect();
    assert_eq!(lines[0], ["version", "section", "time", "author"]);
    assert_eq!(lines.len(), 1 + 3 + 4, "{history}");
    let last = &lines[7];
    assert_eq!((last[0], last[1], last[3]), ("5", "zones", NIGHT_SHIFT));
    assert!(
        last[2].starts_with("20") && last[2].ends_with('Z'),
        "{history}"
    );
    let short = shell.expect(0, TOKEN, &["--json", "history", "--last", "2"]);
    let short: Value = serde_json::from_str(&short).expect("JSON");
    assert_eq!(short.as_array().expect("heads").len(), 2);
    assert_eq!(short[1]["sections"]["zones"]["author"], NIGHT_SHIFT);
}

/// The error names author, time and version of the conflicting change, and each older version can
/// be applied again.
#[tokio::test]
async fn a_conflict_names_its_author_and_a_rollback_is_a_new_version() {
    let deployment = deployment().await;
    let shell = Shell::of(&deployment, "conflict");
    let shown = shell.expect(0, TOKEN, &["show"]);
    shell.expect(0, NIGHT_SHIFT, &["zone", "out", "keflavik"]);
    let stale = shown.replace(
        "[zones.grindavik]\n",
        "[zones.grindavik]\nstate = \"out\"\n",
    );
    let stale = shell.file("stale.toml", &stale);
    let error_output = shell.expect(4, TOKEN, &["apply", &stale]);
    assert!(
        error_output.contains("section zones: changed by night-shift at 20"),
        "{error_output}"
    );
    assert!(
        error_output.contains("in version 2; your document was made from version 1"),
        "{error_output}"
    );
    let json = shell.run(TOKEN, &["--json", "apply", &stale]);
    let json: Value = serde_json::from_slice(&json.stdout).expect("JSON");
    assert_eq!(json["reason"], "conflict");
    assert_eq!(json["detail"]["conflicts"][0]["author"], NIGHT_SHIFT);

    let without_version = shell.file("plain.toml", &without_version_line(&shown));
    let error_output = shell.expect(4, TOKEN, &["apply", &without_version]);
    assert!(
        error_output.contains("say what it was made from: --based-on VERSION"),
        "{error_output}"
    );

    let first = shell.expect(0, TOKEN, &["show", "--version", "1"]);
    assert_eq!(first, shown);
    let first = shell.file("first.toml", &first);
    assert_eq!(
        shell.expect(0, TOKEN, &["apply", "--based-on", "2", &first]),
        "accepted as version 3\n  availability zone keflavik: out -> open\n"
    );
}

fn without_version_line(shown: &str) -> String {
    let (_, text) = shown.split_once('\n').expect("a first line");
    text.to_owned()
}

#[tokio::test]
async fn each_failure_has_its_exit_code() {
    let deployment = deployment().await;
    let shell = Shell::of(&deployment, "codes");
    let shown = shell.expect(0, TOKEN, &["show"]);
    let bad = shown.replace("slots = 4", "slots = 0").replace(
        "[services.crew-share]\n",
        "[services.crew-share]\nprioritty = 1\n",
    );
    let bad = shell.file("bad.toml", &bad);
    for command in ["check", "diff", "apply"] {
        let error_output = shell.expect(2, TOKEN, &[command, &bad]);
        assert!(
            error_output.contains("slots: must be a whole number from 1 to 1024"),
            "{error_output}"
        );
        assert!(
            error_output.contains("services.crew-share.prioritty: unknown field"),
            "{error_output}"
        );
    }
    let json = shell.run(TOKEN, &["--json", "check", &bad]);
    let json: Value = serde_json::from_slice(&json.stdout).expect("JSON");
    assert_eq!(json["faults"][0]["section"], "capacity");
    assert!(json["faults"][0]["line"].as_u64() > Some(1));
    shell.expect(2, TOKEN, &["apply", "/no/such/file.toml"]);
    let edited = shell.file("edited.toml", &format!("{shown}{DECLARED_WORKER}"));
    shell.expect(4, NIGHT_SHIFT, &["apply", &edited]);
    shell.expect(4, "nobody", &["diff", &edited]);
    deployment.set_platform_faults(r#"{"down": true}"#).await;
    let error_output = shell.expect(4, TOKEN, &["apply", &edited]);
    assert!(
        error_output.contains("nothing was changed"),
        "{error_output}"
    );
    shell.expect(3, TOKEN, &["--entry", "127.0.0.1:1", "show"]);
    deployment.set_platform_faults("{}").await;
    eventually(
        "the platform is available again",
        Duration::from_secs(30),
        || async {
            let entry = deployment.entry_addrs[0];
            try_request("GET", entry, "/v1/config/history", &[], "")
                .await
                .is_ok_and(|reply| reply.status == 200)
        },
    )
    .await;
    shell.expect(0, TOKEN, &["apply", &edited]);
}

/// The platform applies a write, its response is lost, and the platform fails. The outcome is
/// reported as unknown until the platform is available again.
#[tokio::test]
async fn an_unknown_outcome_is_reported_and_resolved_by_applying_again() {
    let deployment = deployment().await;
    let shell = Shell::of(&deployment, "unknown");
    let shown = shell.expect(0, TOKEN, &["show"]);
    let edited = shell.file("edited.toml", &format!("{shown}{DECLARED_WORKER}"));
    let before = head_row(&deployment).await;
    deployment
        .set_platform_faults(r#"{"lose_write_replies": 2}"#)
        .await;
    let applying = shell.start(TOKEN, &["apply", &edited]);
    // The response to the object's write is lost first, then the one to the transaction.
    eventually(
        "the head row has changed",
        Duration::from_secs(30),
        || async { head_row(&deployment).await != before },
    )
    .await;
    deployment.set_platform_faults(r#"{"down": true}"#).await;
    let output = applying.wait_with_output().expect("output");
    let error_output = String::from_utf8(output.stderr).expect("text");
    assert_eq!(output.status.code(), Some(1), "{error_output}");
    assert!(
        error_output.contains("version 2 may have been accepted"),
        "{error_output}"
    );
    deployment.set_platform_faults("{}").await;
    assert_eq!(
        shell.expect(0, TOKEN, &["apply", &edited]),
        "unchanged: version 2\n"
    );
    let history = shell.expect(0, TOKEN, &["history"]);
    assert_eq!(
        history.matches("\n      2  capacity").count(),
        1,
        "{history}"
    );
}

/// The configuration's head row in the platform's store.
async fn head_row(deployment: &Deployment) -> Value {
    let path = "/table/rows/config-head";
    get(deployment.platform_addr, path).await.json()
}
