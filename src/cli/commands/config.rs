//! `rattanslip apply`, `show`, `history` and `zone`.

use {
    crate::cli::{RunError, operator_client::OperatorClient},
    http::Method,
    serde_json::{Value, json},
    std::path::Path,
};

/// Puts a document in force.
pub(crate) async fn apply(
    client: &OperatorClient,
    file: &Path,
    based_on: Option<u64>,
    as_json: bool,
) -> Result<(), RunError> {
    let text = std::fs::read_to_string(file)
        .map_err(|error| RunError::Usage(format!("{}: {error}", file.display())))?;
    let based_on = match based_on {
        Some(version) => version,
        None => version_in_force(client).await?,
    };
    let body = json!({ "text": text, "based_on": based_on }).to_string();
    let reply = client.json(Method::POST, "/v1/config", body).await?;
    print_version(&reply, "configuration in force", as_json);
    Ok(())
}

async fn version_in_force(client: &OperatorClient) -> Result<u64, RunError> {
    let held = client
        .json(Method::GET, "/v1/config", String::new())
        .await?;
    Ok(held["version"].as_u64().unwrap_or(0))
}

/// Shows the document in force.
pub(crate) async fn show(client: &OperatorClient, as_json: bool) -> Result<(), RunError> {
    let held = client
        .json(Method::GET, "/v1/config", String::new())
        .await?;
    if as_json {
        println!("{held}");
        return Ok(());
    }
    println!("# version {}", held["version"]);
    for (section, change) in held["sections"].as_object().into_iter().flatten() {
        let author = change["author"].as_str().unwrap_or_default();
        println!("# {section}: version {} by {author}", change["version"]);
    }
    print!("{}", held["text"].as_str().unwrap_or_default());
    Ok(())
}

/// Lists accepted changes, oldest first.
pub(crate) async fn history(client: &OperatorClient, as_json: bool) -> Result<(), RunError> {
    let heads = client
        .json(Method::GET, "/v1/config/history", String::new())
        .await?;
    if as_json {
        println!("{heads}");
        return Ok(());
    }
    for head in heads.as_array().into_iter().flatten() {
        for (section, change) in head["sections"].as_object().into_iter().flatten() {
            if change["version"] == head["version"] {
                let author = change["author"].as_str().unwrap_or_default();
                println!("version {}  {section:<9}  {author}", head["version"]);
            }
        }
    }
    Ok(())
}

/// Takes an availability zone out of service or brings it back.
pub(crate) async fn set_zone(
    client: &OperatorClient,
    zone: &str,
    way: &str,
    as_json: bool,
) -> Result<(), RunError> {
    let path = format!("/v1/zones/{zone}/{way}");
    let reply = client.json(Method::POST, &path, String::new()).await?;
    print_version(
        &reply,
        &format!("availability zone {zone} is {way}"),
        as_json,
    );
    Ok(())
}

fn print_version(reply: &Value, what: &str, as_json: bool) {
    if as_json {
        println!("{reply}");
    } else {
        println!("{what}: version {}", reply["version"]);
    }
}
