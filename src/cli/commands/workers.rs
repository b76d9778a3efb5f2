//! `rattanslip workers`.

use {
    crate::cli::{RunError, operator_client::OperatorClient},
    http::Method,
    serde_json::Value,
};

/// Lists workers as the entry sees them.
pub(crate) async fn list(client: &OperatorClient, as_json: bool) -> Result<(), RunError> {
    let workers = client
        .json(Method::GET, "/v1/workers", String::new())
        .await?;
    if as_json {
        println!("{workers}");
        return Ok(());
    }
    println!(
        "{:<12} {:<14} {:>5} {:>5} {:>9}  services",
        "worker", "zone", "slots", "free", "silent ms"
    );
    for worker in workers.as_array().into_iter().flatten() {
        println!("{}", row(worker));
    }
    Ok(())
}

fn row(worker: &Value) -> String {
    let services: Vec<&str> = worker["services"]
        .as_array()
        .into_iter()
        .flatten()
        .filter_map(Value::as_str)
        .collect();
    let leaving = if worker["leaving"] == true {
        "  (leaving)"
    } else {
        ""
    };
    format!(
        "{:<12} {:<14} {:>5} {:>5} {:>9}  {}{leaving}",
        worker["worker"].as_str().unwrap_or_default(),
        worker["availability_zone"].as_str().unwrap_or_default(),
        worker["slots"],
        worker["free_slots"],
        worker["silent_ms"],
        services.join(", "),
    )
}
