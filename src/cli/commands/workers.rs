//! `rattanslip workers`.

use {
    crate::{
        cli::{RunError, operator_client::OperatorClient},
        conf::{DocumentRules, read_document_with},
        core::config::Document,
    },
    http::Method,
    serde_json::{Value, json},
    std::collections::BTreeSet,
};

/// Lists the workers known to the entry and the declared ones that it does not know, by name.
pub(crate) async fn list(client: &OperatorClient, as_json: bool) -> Result<(), RunError> {
    let mut workers = client
        .request_json(Method::GET, "/v1/workers", String::new())
        .await?;
    let config = client
        .request_json(Method::GET, "/v1/config", String::new())
        .await?;
    let text = config["text"].as_str().unwrap_or_default();
    let document = read_document_with(text, &DocumentRules::Accepted).unwrap_or_default();
    let absent = absent_workers(&workers, &document);
    if let Some(workers) = workers.as_array_mut() {
        workers.extend(absent);
        workers.sort_by_key(|worker| worker["worker"].as_str().unwrap_or_default().to_owned());
    }
    if as_json {
        println!("{workers}");
        return Ok(());
    }
    println!(
        "{:<12} {:<14} {:>5} {:>5} {:>9}  services",
        "worker", "zone", "slots", "free", "silent ms"
    );
    for worker in workers.as_array().into_iter().flatten() {
        println!("{}", format_row(worker));
    }
    Ok(())
}

/// Declared workers that are not announced.
fn absent_workers(present: &Value, document: &Document) -> Vec<Value> {
    let present: BTreeSet<&str> = present
        .as_array()
        .into_iter()
        .flatten()
        .filter_map(|worker| worker["worker"].as_str())
        .collect();
    document
        .workers
        .iter()
        .filter(|(name, _)| !present.contains(name.as_str()))
        .map(|(name, worker)| {
            json!({
                "worker": name,
                "availability_zone": worker.availability_zone,
                "slots": worker.slots,
                "absent": if worker.arrived { "silent" } else { "not arrived" },
            })
        })
        .collect()
}

fn format_row(worker: &Value) -> String {
    let services: Vec<&str> = worker["services"]
        .as_array()
        .into_iter()
        .flatten()
        .filter_map(Value::as_str)
        .collect();
    let state = match worker["absent"].as_str() {
        Some(absent) => format!("(declared, {absent})"),
        None if worker["leaving"] == true => format!("{}  (leaving)", services.join(", ")),
        None => services.join(", "),
    };
    format!(
        "{:<12} {:<14} {:>5} {:>5} {:>9}  {state}",
        worker["worker"].as_str().unwrap_or_default(),
        worker["availability_zone"].as_str().unwrap_or_default(),
        format_number(&worker["slots"]),
        format_number(&worker["free_slots"]),
        format_number(&worker["silent_ms"]),
    )
}

/// Formats a number, or a dash for an unknown one.
fn format_number(value: &Value) -> String {
    value
        .as_u64()
        .map_or_else(|| "-".to_owned(), |number| number.to_string())
}
