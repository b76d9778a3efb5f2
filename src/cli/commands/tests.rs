//! Tests of the digest check and of `explain`.

use {
    super::digest_check::verify_digest,
    crate::core::{
        job::{JobAnswer, TaskOutcome},
        ticket::{AgentId, GrantSecret},
        verdict::{MayHaveRunReason, NotRunReason, Verdict},
    },
    serde_json::{Value, json},
};

/// Response of the entry for a job with each kind of task outcome.
fn job_response() -> Value {
    let ticket = GrantSecret::new([3; 32]).grant(AgentId(7), 1, 1).ticket(0);
    let outcomes = vec![
        TaskOutcome::Done {
            output: "paid".to_owned(),
        },
        TaskOutcome::Failed {
            message: "no such share".to_owned(),
        },
        TaskOutcome::NotRun {
            reason: NotRunReason::JobFailed,
        },
        TaskOutcome::MayHaveRun {
            reason: MayHaveRunReason::JobFailed,
        },
    ];
    let verdict = Verdict::may_have_run(MayHaveRunReason::TaskFailed);
    let answer = JobAnswer::new(ticket.id, verdict, outcomes);
    json!({
        "ticket": ticket.to_string(),
        "verdict": "may-have-run",
        "task_count": 4,
        "digest": blake3::Hash::from_bytes(answer.digest).to_hex().to_string(),
        "tasks": [
            { "verdict": "done", "output": "paid" },
            { "verdict": "failed", "output": "no such share", "reason": "task_failed" },
            { "verdict": "not-run", "reason": "job_failed" },
            { "verdict": "may-have-run", "reason": "job_failed" },
        ],
    })
}

macro_rules! damaged_response_cases {
    ($($name:ident: $damage:expr;)+) => {
        $(
            #[test]
            fn $name() {
                let mut response = job_response();
                let damage: fn(&mut Value) = $damage;
                damage(&mut response);
                assert!(verify_digest(&response).is_err());
            }
        )+
    };
}

#[test]
fn intact_response_passes_and_one_without_digest_is_not_checked() {
    assert!(verify_digest(&job_response()).is_ok_and(|checked| checked));
    let running = json!({ "verdict": "running", "ended": 1 });
    assert!(verify_digest(&running).is_ok_and(|checked| !checked));
}

damaged_response_cases! {
    changed_output_is_detected: |response| response["tasks"][0]["output"] = json!("paid twice");
    failure_shown_as_done_is_detected: |response| response["tasks"][1]["verdict"] = json!("done");
    missing_task_is_detected: |response| {
        response["tasks"].as_array_mut().map(Vec::pop);
    };
    changed_count_is_detected: |response| response["task_count"] = json!(5);
    unknown_reason_is_detected: |response| response["tasks"][2]["reason"] = json!("mood");
    changed_ticket_is_detected: |response| {
        let other = GrantSecret::new([3; 32]).grant(AgentId(8), 1, 1).ticket(0);
        response["ticket"] = json!(other.to_string());
    };
}

/// Logs of several hosts are passed in any order: the lines of the job are sorted by time, gaps and
/// decisive events are marked, and other jobs are skipped.
#[test]
fn explain_sorts_lines_and_skips_other_jobs() {
    let log = r#"{"at_unix_ms":5900,"process":"entry-1","event":"run_lost","job":"aa","run":"aa.0.0#1","end":"lost"}
{"at_unix_ms":5000,"process":"entry-1","event":"job_taken","job":"aa","tasks":2}
{"at_unix_ms":5100,"process":"entry-1","event":"job_taken","job":"bb","tasks":1}
no decision line, though it names "aa""#;
    let lines: Vec<&str> = log.lines().collect();
    let sorted = [lines[1], lines[0], lines[2], lines[3]].join("\n");
    let text = super::explain::timeline_from_log("\"aa\"", &sorted);
    let rows: Vec<&str> = text.lines().collect();
    assert_eq!(rows.len(), 3, "{text}");
    assert!(
        rows[0].starts_with("        0 ms  entry-1") && rows[0].ends_with("tasks=2"),
        "{text}"
    );
    assert!(rows[1].contains("... 900 ms"), "{text}");
    assert!(
        rows[2].starts_with("*     900 ms") && rows[2].contains("end=\"lost\""),
        "{text}"
    );
}
