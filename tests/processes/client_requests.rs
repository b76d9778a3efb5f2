//! Client requests without faults, and invalid client requests.

use super::support::{Deployment, Layout, SERVICE, get, job_body, request};

#[tokio::test]
async fn a_job_returns_all_outputs_and_each_task_starts_once() {
    let deployment = Deployment::start(Layout::default()).await;
    let ticket = deployment.ticket(0).await;
    let reply = deployment
        .submit(0, &ticket, &job_body(40, 20, 10_000))
        .await;
    assert_eq!((reply.status.as_u16(), reply.verdict()), (200, "done"));
    let expected: Vec<String> = (0..40).map(|index| format!("share {index}")).collect();
    assert_eq!(reply.outputs(), expected);
    assert_eq!(deployment.assert_no_double_start().await, 40);

    let again = deployment
        .submit(1, &ticket, &job_body(40, 20, 10_000))
        .await;
    assert_eq!(
        again.body, reply.body,
        "a resubmission returns the same outcome"
    );
    assert_eq!(deployment.assert_no_double_start().await, 40);
    let metrics = get(deployment.entry_addrs[0], "/metrics").await.body;
    assert!(
        metrics.contains("rattanslip_answers_total{reason=\"done\"} 1"),
        "{metrics}"
    );
}

#[tokio::test]
async fn a_single_request_returns_the_raw_output() {
    let deployment = Deployment::start(Layout::default()).await;
    let path = format!("/v1/requests/{SERVICE}?repeatable=true");
    let reply = request("POST", deployment.entry_addrs[0], &path, &[], "5 one share").await;
    assert_eq!(
        (reply.status.as_u16(), reply.body.as_str()),
        (200, "one share")
    );
    assert!(!reply.header("rattanslip-next-ticket").is_empty());

    let path = format!("/v1/requests/{SERVICE}");
    let key = [("idempotency-key", "payment 17")];
    for entry in deployment.entry_addrs.clone() {
        let reply = request("POST", entry, &path, &key, "5 paid").await;
        assert_eq!((reply.status.as_u16(), reply.body.as_str()), (200, "paid"));
    }
    assert_eq!(deployment.assert_no_double_start().await, 2);
}

#[tokio::test]
async fn bad_requests_are_rejected_with_a_reason_and_start_nothing() {
    let layout = Layout {
        entry_settings: "max_body_bytes = 20000".to_owned(),
        ..Layout::default()
    };
    let deployment = Deployment::start(layout).await;
    let entry = deployment.entry_addrs[0];
    let ticket = deployment.ticket(0).await;
    let forged = {
        let mut bytes = ticket.clone().into_bytes();
        let last = bytes.len() - 2;
        bytes[last] = if bytes[last] == b'A' { b'B' } else { b'A' };
        String::from_utf8(bytes).expect("ticket")
    };
    let small = job_body(1, 5, 1_000);
    let unknown = small.replace(SERVICE, "no-such-service");
    let none = job_body(0, 5, 1_000);
    let many = job_body(201, 5, 1_000);
    let large = format!("{small}{}", " ".repeat(20_000));
    let cases: [(&str, &str, u16, &str); 9] = [
        (&ticket, "{", 400, "bad_request"),
        (
            &ticket,
            r#"{"service": "x", "taks": []}"#,
            400,
            "bad_request",
        ),
        (&ticket, &unknown, 404, "unknown_service"),
        (&ticket, &none, 400, "task_count"),
        (&ticket, &many, 400, "task_count"),
        (&ticket, &large, 413, "body_too_large"),
        ("", &small, 400, "ticket_malformed"),
        ("rt1.AAAA", &small, 400, "ticket_malformed"),
        (&forged, &small, 403, "ticket_forged"),
    ];
    for (ticket, body, status, reason) in cases {
        let reply = deployment.submit(0, ticket, body).await;
        assert_eq!(
            (reply.status.as_u16(), reply.verdict(), reply.reason()),
            (status, "not-run", reason)
        );
    }
    let reply = request("POST", entry, "/v1/jobs", &[], &small).await;
    assert_eq!(
        (reply.status.as_u16(), reply.reason()),
        (400, "ticket_missing")
    );
    let reply = request("POST", entry, "/v1/jbos", &[], &small).await;
    assert_eq!((reply.status.as_u16(), reply.verdict()), (404, "not-run"));
    let path = format!("/v1/jobs/{ticket}");
    let reply = get(entry, &path).await;
    assert_eq!(
        (reply.status.as_u16(), reply.reason()),
        (404, "not_submitted")
    );
    assert_eq!(deployment.assert_no_double_start().await, 0);

    let reply = deployment.submit(0, &ticket, &small).await;
    assert_eq!(reply.verdict(), "done");
    let reply = deployment.submit(0, &ticket, &job_body(2, 5, 1_000)).await;
    assert_eq!(
        (reply.status.as_u16(), reply.reason()),
        (409, "ticket_reused")
    );
}
