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
