//! HTTP handlers for operators.

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

/// Versions in a history if the request names no number.
const DEFAULT_HISTORY_VERSIONS: u64 = 100;
/// Retry delay after a change failed because the platform was unavailable or another change was in progress.
const RETRY_AFTER_S: u64 = 2;

/// `GET /v1/config`, `GET /v1/config?version=N`
#[handler]
pub(crate) async fn show(api: Api<'_>, Query(query): Query<ShowQuery>) -> Response {
    let config = match query.version {
        None => api.state.in_force(),
        Some(version) => match api.config_store.at_version(version).await {
            Ok(Some(config)) => Some(config),
            Ok(None) => return apply_error_response(&ApplyError::UnknownBase(version)),
            Err(error) => return apply_error_response(&ApplyError::Unavailable(error)),
        },
    };
    match config {
        Some(config) => Json(json!({
            "version": config.head.version,
            "sections": config.head.sections,
            "text": &*config.text,
        }))
        .into_response(),
        None => Json(json!({ "version": 0, "sections": {}, "text": "" })).into_response(),
    }
}

/// `POST /v1/config`
#[handler]
pub(crate) async fn apply(api: Api<'_>, request: &Request, body: Json<ChangeBody>) -> Response {
    let Some(operator) = authenticate(&api, request) else {
        return apply_error_response(&ApplyError::Unauthorized);
    };
    let change = match parse_change(body.0) {
        Ok(change) => change,
        Err(detail) => return error_response(StatusCode::BAD_REQUEST, &detail),
    };
    change_response(api.config_store.apply(operator, &change).await)
}

/// `POST /v1/config/diff`: preview of a change. Without a token, changes of any section are allowed.
#[handler]
pub(crate) async fn diff(api: Api<'_>, request: &Request, body: Json<ChangeBody>) -> Response {
    let sections = match (authenticate(&api, request), request.header("authorization")) {
        (Some(operator), _) => operator.sections.clone(),
        (None, Some(_)) => return apply_error_response(&ApplyError::Unauthorized),
        (None, None) => SECTIONS.into_iter().map(str::to_owned).collect(),
    };
    let change = match parse_change(body.0) {
        Ok(change) => change,
        Err(detail) => return error_response(StatusCode::BAD_REQUEST, &detail),
    };
    change_response(api.config_store.preview(&sections, &change).await)
}

/// `GET /v1/config/history`, `GET /v1/config/history?last=N`
#[handler]
pub(crate) async fn history(api: Api<'_>, Query(query): Query<HistoryQuery>) -> Response {
    let last = query.last.unwrap_or(DEFAULT_HISTORY_VERSIONS);
    match api.config_store.history(last).await {
        Ok(heads) => Json(heads).into_response(),
        Err(error) => apply_error_response(&ApplyError::Unavailable(error)),
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
    let Some(operator) = authenticate(&api, request) else {
        return apply_error_response(&ApplyError::Unauthorized);
    };
    let state = match state.as_str() {
        "out" => ZoneState::Out,
        "in" => ZoneState::Open,
        _ => return error_response(StatusCode::NOT_FOUND, "the last part is out or in"),
    };
    let change = Change {
        edit: Edit::Zone { zone, state },
        close_last_zone: query.last,
    };
    change_response(api.config_store.apply(operator, &change).await)
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

fn authenticate<'a>(api: &'a Arc<EntryApi>, request: &Request) -> Option<&'a OperatorSettings> {
    let token = request.header("authorization")?.strip_prefix("Bearer ")?;
    api.config_store.find_operator(token)
}

fn parse_change(body: ChangeBody) -> Result<Change, String> {
    let based_on = BasedOnBody::sections(body.based_on, &body.text)?;
    Ok(Change {
        edit: Edit::Document {
            text: body.text,
            based_on,
        },
        close_last_zone: body.close_last_zone,
    })
}

fn change_response(result: Result<AppliedChange, ApplyError>) -> Response {
    match result {
        Ok(applied) => Json(json!({
            "version": applied.head.version,
            "sections": applied.sections,
            "differences": applied.differences,
        }))
        .into_response(),
        Err(error) => apply_error_response(&error),
    }
}

fn error_response(status: StatusCode, text: &str) -> Response {
    Json(json!({ "error": text }))
        .with_status(status)
        .into_response()
}

fn apply_error_response(error: &ApplyError) -> Response {
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
