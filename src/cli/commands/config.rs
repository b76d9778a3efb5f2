//! `rattanslip apply`, `diff`, `show`, `history` and `zone`.

use {
    super::describe::{change_time, describe_change},
    crate::{
        cli::{RunError, operator_client::OperatorClient},
        conf::with_version_comment,
    },
    http::Method,
    serde_json::{Value, json},
    std::path::Path,
};

/// A document to apply or compare, with the operator's options.
#[derive(Debug)]
pub(crate) struct DocumentChange<'a> {
    /// The file.
    pub(crate) file: &'a Path,
    /// Version that the document is based on; if `None`, its first line names the version.
    pub(crate) based_on: Option<u64>,
    /// Whether the last open availability zone may be closed.
    pub(crate) close_last_zone: bool,
}

impl DocumentChange<'_> {
    fn body(&self) -> Result<String, RunError> {
        let text = std::fs::read_to_string(self.file)
            .map_err(|error| RunError::Usage(format!("{}: {error}", self.file.display())))?;
        let mut body = json!({ "text": text, "close_last_zone": self.close_last_zone });
        if let Some(version) = self.based_on {
            body["based_on"] = version.into();
        }
        Ok(body.to_string())
    }
}

/// Applies a document as the new configuration.
pub(crate) async fn apply(
    client: &OperatorClient,
    change: &DocumentChange<'_>,
    as_json: bool,
) -> Result<(), RunError> {
    let response = client
        .request_json(Method::POST, "/v1/config", change.body()?)
        .await?;
    print_change(&response, as_json);
    Ok(())
}

/// Shows what a document would change.
pub(crate) async fn diff(
    client: &OperatorClient,
    change: &DocumentChange<'_>,
    as_json: bool,
) -> Result<(), RunError> {
    let response = client
        .request_json(Method::POST, "/v1/config/diff", change.body()?)
        .await?;
    if as_json {
        println!("{response}");
        return Ok(());
    }
    println!("against version {}:", response["version"]);
    print!("{}", describe_change(&response));
    Ok(())
}

/// Shows the document in force or an earlier version.
pub(crate) async fn show(
    client: &OperatorClient,
    version: Option<u64>,
    as_json: bool,
) -> Result<(), RunError> {
    let path = match version {
        Some(version) => format!("/v1/config?version={version}"),
        None => "/v1/config".to_owned(),
    };
    let config = client
        .request_json(Method::GET, &path, String::new())
        .await?;
    if as_json {
        println!("{config}");
        return Ok(());
    }
    let text = config["text"].as_str().unwrap_or_default();
    let version = config["version"].as_u64().unwrap_or(0);
    print!("{}", with_version_comment(version, text));
    Ok(())
}

/// Lists accepted changes, oldest first.
pub(crate) async fn history(
    client: &OperatorClient,
    last: Option<u64>,
    as_json: bool,
) -> Result<(), RunError> {
    let path = match last {
        Some(last) => format!("/v1/config/history?last={last}"),
        None => "/v1/config/history".to_owned(),
    };
    let heads = client
        .request_json(Method::GET, &path, String::new())
        .await?;
    if as_json {
        println!("{heads}");
        return Ok(());
    }
    println!("{:>7}  {:<9}  {:<20}  author", "version", "section", "time");
    for head in heads.as_array().into_iter().flatten() {
        for (section, change) in head["sections"].as_object().into_iter().flatten() {
            if change["version"] == head["version"] {
                let author = change["author"].as_str().unwrap_or_default();
                let time = change_time(change);
                let version = head["version"].as_u64().unwrap_or_default();
                println!("{version:>7}  {section:<9}  {time:<20}  {author}");
            }
        }
    }
    Ok(())
}

/// Takes an availability zone out of service or brings it back.
pub(crate) async fn set_zone(
    client: &OperatorClient,
    zone: &str,
    state: &str,
    last: bool,
    as_json: bool,
) -> Result<(), RunError> {
    let path = format!("/v1/zones/{zone}/{state}?last={last}");
    let response = client
        .request_json(Method::POST, &path, String::new())
        .await?;
    print_change(&response, as_json);
    Ok(())
}

fn print_change(response: &Value, as_json: bool) {
    if as_json {
        println!("{response}");
        return;
    }
    let is_change = response["sections"]
        .as_array()
        .is_some_and(|sections| !sections.is_empty());
    let status = if is_change {
        "accepted as"
    } else {
        "unchanged:"
    };
    println!("{status} version {}", response["version"]);
    if is_change {
        print!("{}", describe_change(response));
    }
}
