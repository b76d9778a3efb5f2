//! What operators call.

use {
    super::{
        config_body::{BasedOnBody, ChangeBody, HistoryQuery, ShowQuery, ZoneQuery},
        entry_api::{Api, EntryApi},
    },
    crate::{
        conf::OperatorSettings,
        core::config::{SECTIONS, ZoneState},
        entry::{AppliedChange, ApplyError, Change, Edit},
    },
    poem::{
        IntoResponse, Request, Response, handler,
        http::StatusCode,
        web::{Json, Path, Query},
    },
    serde_json::json,
    std::sync::Arc,
};

/// Versions that a history shows if none are asked for.
const HISTORY_LAST: u64 = 100;
/// When to come back after a change was refused for want of the platform or of a turn, in seconds.
const RETRY_AFTER_S: u64 = 2;

/// `GET /v1/config`, `GET /v1/config?version=N`
#[handler]
pub(crate) async fn show(api: Api<'_>, Query(query): Query<ShowQuery>) -> Response {
    let held = match query.version {
        None => api.state.in_force(),
        Some(version) => match api.config_store.at_version(version).await {
            Ok(Some(held)) => Some(held),
            Ok(None) => return failure(&ApplyError::UnknownBase(version)),
            Err(error) => return failure(&ApplyError::Unavailable(error)),
        },
    };
    match held {
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
pub(crate) async fn apply(api: Api<'_>, request: &Request, body: Json<ChangeBody>) -> Response {
    let Some(operator) = operator(&api, request) else {
        return failure(&ApplyError::Unauthorized);
    };
    let change = match change(body.0) {
        Ok(change) => change,
        Err(detail) => return message(StatusCode::BAD_REQUEST, &detail),
    };
    answer(api.config_store.apply(operator, &change).await)
}

/// `POST /v1/config/diff`: what the change would do now; without a token for any section.
#[handler]
pub(crate) async fn diff(api: Api<'_>, request: &Request, body: Json<ChangeBody>) -> Response {
    let owned = match (operator(&api, request), request.header("authorization")) {
        (Some(operator), _) => operator.sections.clone(),
        (None, Some(_)) => return failure(&ApplyError::Unauthorized),
        (None, None) => SECTIONS.into_iter().map(str::to_owned).collect(),
    };
    let change = match change(body.0) {
        Ok(change) => change,
        Err(detail) => return message(StatusCode::BAD_REQUEST, &detail),
    };
    answer(api.config_store.preview(&owned, &change).await)
}

/// `GET /v1/config/history`, `GET /v1/config/history?last=N`
#[handler]
pub(crate) async fn history(api: Api<'_>, Query(query): Query<HistoryQuery>) -> Response {
    let last = query.last.unwrap_or(HISTORY_LAST);
    match api.config_store.history(last).await {
        Ok(heads) => Json(heads).into_response(),
        Err(error) => failure(&ApplyError::Unavailable(error)),
    }
}

/// `POST /v1/zones/ZONE/out` and `POST /v1/zones/ZONE/in`
#[handler]
pub(crate) async fn set_zone(
    api: Api<'_>,
    request: &Request,
    Path((zone, state)): Path<(String, String)>,
    Query(query): Query<ZoneQuery>,
) -> Response {
    let Some(operator) = operator(&api, request) else {
        return failure(&ApplyError::Unauthorized);
    };
    let state = match state.as_str() {
        "out" => ZoneState::Out,
        "in" => ZoneState::Open,
        _ => return message(StatusCode::NOT_FOUND, "the last part is out or in"),
    };
    let change = Change {
        edit: Edit::Zone { zone, state },
        close_last_zone: query.last,
    };
    answer(api.config_store.apply(operator, &change).await)
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
    api.config_store.find_operator(token)
}

fn change(body: ChangeBody) -> Result<Change, String> {
    let based_on = BasedOnBody::sections(body.based_on, &body.text)?;
    Ok(Change {
        edit: Edit::Document {
            text: body.text,
            based_on,
        },
        close_last_zone: body.close_last_zone,
    })
}

fn answer(result: Result<AppliedChange, ApplyError>) -> Response {
    match result {
        Ok(accepted) => Json(json!({
            "version": accepted.head.version,
            "sections": accepted.sections,
            "differences": accepted.differences,
        }))
        .into_response(),
        Err(error) => failure(&error),
    }
}

fn message(status: StatusCode, text: &str) -> Response {
    Json(json!({ "error": text }))
        .with_status(status)
        .into_response()
}

fn failure(error: &ApplyError) -> Response {
    let detail = match error {
        ApplyError::Invalid(faults) => json!(faults),
        ApplyError::Conflict(version, conflicts) => {
            json!({ "version": version, "conflicts": conflicts })
        }
        _ => json!(null),
    };
    let body = json!({ "error": error.to_string(), "reason": error.as_str(), "detail": detail });
    let mut response = Json(body).with_status(status(error)).into_response();
    if response.status() == StatusCode::SERVICE_UNAVAILABLE {
        response
            .headers_mut()
            .insert("retry-after", RETRY_AFTER_S.into());
    }
    response
}

const fn status(error: &ApplyError) -> StatusCode {
    match error {
        ApplyError::Unauthorized => StatusCode::UNAUTHORIZED,
        ApplyError::Forbidden(_) => StatusCode::FORBIDDEN,
        ApplyError::Invalid(_) => StatusCode::BAD_REQUEST,
        ApplyError::UnknownZone(_) | ApplyError::UnknownBase(_) => StatusCode::NOT_FOUND,
        ApplyError::Conflict(..) => StatusCode::CONFLICT,
        ApplyError::Busy | ApplyError::Unavailable(_) => StatusCode::SERVICE_UNAVAILABLE,
        ApplyError::OutcomeUnknown(..) => StatusCode::GATEWAY_TIMEOUT,
    }
}
