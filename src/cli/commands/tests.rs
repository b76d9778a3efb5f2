//! Tests of the check that the command line makes of each answer.

use {
    super::answer_check::check_answer,
    crate::core::{
        job::{JobAnswer, TaskOutcome},
        ticket::{AgentId, GrantSecret},
        verdict::{MayHaveRunReason, NotRunReason, Verdict},
    },
    serde_json::{Value, json},
};

/// An answer with each kind of outcome, as the entry prints it.
fn printed() -> Value {
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

macro_rules! damaged_cases {
    ($($name:ident: $damage:expr;)+) => {
        $(
            #[test]
            fn $name() {
                let mut answer = printed();
                let damage: fn(&mut Value) = $damage;
                damage(&mut answer);
                assert!(check_answer(&answer).is_err());
            }
        )+
    };
}

#[test]
fn a_whole_answer_passes_and_one_without_digest_is_not_checked() {
    assert!(check_answer(&printed()).is_ok_and(|checked| checked));
    let running = json!({ "verdict": "running", "ended": 1 });
    assert!(check_answer(&running).is_ok_and(|checked| !checked));
}

damaged_cases! {
    another_output_is_found: |answer| answer["tasks"][0]["output"] = json!("paid twice");
    a_failure_shown_as_done_is_found: |answer| answer["tasks"][1]["verdict"] = json!("done");
    a_missing_task_is_found: |answer| {
        answer["tasks"].as_array_mut().map(Vec::pop);
    };
    another_count_is_found: |answer| answer["task_count"] = json!(5);
    an_unknown_reason_is_found: |answer| answer["tasks"][2]["reason"] = json!("mood");
    another_ticket_is_found: |answer| {
        let other = GrantSecret::new([3; 32]).grant(AgentId(8), 1, 1).ticket(0);
        answer["ticket"] = json!(other.to_string());
    };
}

/// An on-call engineer has the logs of two hosts in any order and looks for one job: its lines come in order of
/// time, the decisive ones and the gap before them are marked, and other jobs are left out.
#[test]
fn an_explained_job_is_told_in_order() {
    let log = r#"{"at_unix_ms":5900,"process":"entry-1","event":"run_lost","job":"aa","run":"aa.0.0#1","end":"lost"}
{"at_unix_ms":5000,"process":"entry-1","event":"job_taken","job":"aa","tasks":2}
{"at_unix_ms":5100,"process":"entry-1","event":"job_taken","job":"bb","tasks":1}
no decision line, though it names "aa""#;
    let lines: Vec<&str> = log.lines().collect();
    let sorted = [lines[1], lines[0], lines[2], lines[3]].join("\n");
    let text = super::explain::timeline_of("\"aa\"", &sorted);
    let told: Vec<&str> = text.lines().collect();
    assert_eq!(told.len(), 3, "{text}");
    assert!(
        told[0].starts_with("        0 ms  entry-1") && told[0].ends_with("tasks=2"),
        "{text}"
    );
    assert!(told[1].contains("... 900 ms"), "{text}");
    assert!(
        told[2].starts_with("*     900 ms") && told[2].contains("end=\"lost\""),
        "{text}"
    );
}
