//! What operators call.

use {
    super::entry_api::{Api, EntryApi},
    crate::{conf::OperatorSettings, entry::ApplyError, ports::StoreError},
    poem::{
        IntoResponse, Request, Response, handler,
        http::StatusCode,
        web::{Json, Path},
    },
    serde::{Deserialize, Serialize},
    serde_json::json,
    std::sync::Arc,
};

/// Tries to take a zone out or in while other changes win the race.
const ZONE_TRIES: usize = 5;

/// A document on its way to be applied.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct ApplyBody {
    /// The document's text.
    text: String,
    /// The version that it was made from, zero for the first.
    based_on: u64,
}

/// `GET /v1/config`
#[handler]
pub(crate) fn show(api: Api<'_>) -> Response {
    match api.state.in_force() {
        Some(held) => Json(json!({
            "version": held.head.version,
            "sections": held.head.sections,
            "text": &*held.text,
        }))
        .into_response(),
        None => Json(json!({ "version": 0, "sections": {}, "text": "" })).into_response(),
    }
}

/// `POST /v1/config`
#[handler]
pub(crate) async fn apply(api: Api<'_>, request: &Request, body: Json<ApplyBody>) -> Response {
    let Some(operator) = operator(&api, request) else {
        return failure(&ApplyError::Unauthorized);
    };
    match api.keeper.apply(operator, &body.text, body.based_on).await {
        Ok(head) => Json(json!({ "version": head.version })).into_response(),
        Err(error) => failure(&error),
    }
}

/// `GET /v1/config/history`
#[handler]
pub(crate) async fn history(api: Api<'_>) -> Response {
    match api.keeper.history().await {
        Ok(heads) => Json(heads).into_response(),
        Err(error) => failure(&ApplyError::Store(error)),
    }
}

/// `POST /v1/zones/ZONE/out` and `POST /v1/zones/ZONE/in`
#[handler]
pub(crate) async fn set_zone(
    api: Api<'_>,
    request: &Request,
    Path((zone, state)): Path<(String, String)>,
) -> Response {
    let Some(operator) = operator(&api, request) else {
        return failure(&ApplyError::Unauthorized);
    };
    let word = match state.as_str() {
        "out" => "out",
        "in" => "open",
        _ => return message(StatusCode::NOT_FOUND, "the last part is out or in"),
    };
    for _ in 0..ZONE_TRIES {
        let Some(held) = api.state.in_force() else {
            return message(StatusCode::SERVICE_UNAVAILABLE, "no configuration yet");
        };
        let Some(text) = with_zone_state(&held.text, &zone, word) else {
            return message(StatusCode::NOT_FOUND, "no such availability zone");
        };
        match api.keeper.apply(operator, &text, held.head.version).await {
            Ok(head) => return Json(json!({ "version": head.version })).into_response(),
            Err(ApplyError::Conflict(_)) => {
                if let Err(error) = api.keeper.refresh().await {
                    return failure(&ApplyError::Store(error));
                }
            }
            Err(error) => return failure(&error),
        }
    }
    failure(&ApplyError::Conflict(None))
}

/// The document with one zone's state changed and everything else as it was.
fn with_zone_state(text: &str, zone: &str, state: &str) -> Option<String> {
    let mut document: toml_edit::DocumentMut = text.parse().ok()?;
    let zone = document
        .get_mut("zones")?
        .as_table_like_mut()?
        .get_mut(zone)?
        .as_table_like_mut()?;
    zone.insert("state", toml_edit::value(state));
    Some(document.to_string())
}

/// `GET /v1/workers`
#[handler]
pub(crate) fn workers(api: Api<'_>) -> Response {
    let workers: Vec<_> = api
        .state
        .agents()
        .into_iter()
        .map(|(announcement, silent_ms)| {
            json!({
                "worker": announcement.worker,
                "availability_zone": announcement.availability_zone,
                "services": announcement.services,
                "slots": announcement.slots,
                "free_slots": announcement.free_slots,
                "leaving": announcement.leaving,
                "config_version": announcement.config_version,
                "silent_ms": silent_ms,
            })
        })
        .collect();
    Json(workers).into_response()
}

fn operator<'a>(api: &'a Arc<EntryApi>, request: &Request) -> Option<&'a OperatorSettings> {
    let token = request.header("authorization")?.strip_prefix("Bearer ")?;
    api.keeper.operator(token)
}

fn message(status: StatusCode, text: &str) -> Response {
    Json(json!({ "error": text }))
        .with_status(status)
        .into_response()
}

fn failure(error: &ApplyError) -> Response {
    let (status, detail) = match error {
        ApplyError::Unauthorized => (StatusCode::UNAUTHORIZED, json!(null)),
        ApplyError::Forbidden(_) => (StatusCode::FORBIDDEN, json!(null)),
        ApplyError::Invalid(faults) => (StatusCode::BAD_REQUEST, json!(faults)),
        ApplyError::Conflict(head) => (StatusCode::CONFLICT, json!(head)),
        ApplyError::Store(StoreError::Unavailable(_)) => {
            (StatusCode::SERVICE_UNAVAILABLE, json!(null))
        }
        ApplyError::Store(StoreError::OutcomeUnknown(_)) => {
            (StatusCode::GATEWAY_TIMEOUT, json!(null))
        }
    };
    Json(json!({ "error": error.to_string(), "detail": detail }))
        .with_status(status)
        .into_response()
}
