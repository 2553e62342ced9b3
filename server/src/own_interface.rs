//! Heatherring's own interface for direct dispatch.
//!
//! Calls carry heatherring's own types in JSON: `POST /v1/announcements`,
//! `DELETE /v1/backends/{name}`, `PUT` and `DELETE /v1/evacuations/{place}`,
//! `POST` and `GET /v1/routes`, `POST /v1/rollouts`, `GET /v1/rollouts/{service}`,
//! `GET /v1/entries?host=..&region=..`. Requests and answers
//! carry `Heatherring-*` headers.

use std::collections::BTreeSet;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use heatherring_lib::answer_claim::AnswerMeaning;
use heatherring_lib::answer_pairing::EchoPolicy;
use heatherring_lib::backend_load::LoadReport;
use heatherring_lib::backend_statement::BackendStatement;
use heatherring_lib::duration_text::whole_ms;
use heatherring_lib::fleet_record::BackendRecord;
use heatherring_lib::fleet_state::RouteAnswer;
use heatherring_lib::id::BackendName;
use heatherring_lib::id::PlaceName;
use heatherring_lib::id::RegionName;
use heatherring_lib::id::RouteName;
use heatherring_lib::id::ServiceName;
use heatherring_lib::id::TeamName;
use heatherring_lib::id::VersionName;
use heatherring_lib::outcome::OUTCOME_NOT_RUN;
use heatherring_lib::rollout::RolloutAnswer;
use heatherring_lib::route_check;
use heatherring_lib::route_manifest::RouteManifest;
use heatherring_lib::team_manifest::FleetChange;
use heatherring_lib::team_manifest::FleetManifest;
use heatherring_lib::team_manifest::TeamManifest;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::response::Parts;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::answer_body::AnswerBody;
use crate::fleet_control::Announcement;
use crate::fleet_control::FleetControl;
use crate::fleet_control::FleetError;
use crate::header;
use crate::interface::AnswerMetadata;
use crate::interface::CallerMetadata;
use crate::interface::ControlInterface;
use crate::interface::EntryInterface;
use crate::interface::HealthMetadata;
use crate::interface::LookUpInterface;
use crate::interface::LookUpSource;
use crate::interface::OutgoingMetadata;
use crate::interface::UnreadableHeader;
use crate::query_parameter;
use crate::reply;
use crate::request_body;
use crate::request_body::RequestBody;

/// The object that a request refers to, whose data may be cached at a backend server.
const OBJECT: HeaderName = HeaderName::from_static("heatherring-object");
/// The one backend server that may run a request.
const BACKEND: HeaderName = HeaderName::from_static("heatherring-backend");
/// How much longer a backend server stays cold, in milliseconds; on health checks.
const COLD_MS: HeaderName = HeaderName::from_static("heatherring-cold-ms");
/// The caller's team; sent to backend servers only.
const TEAM: HeaderName = HeaderName::from_static("heatherring-team");
/// Load of a backend server: its running requests, waiting requests and slots, separated by
/// commas.
const LOAD: HeaderName = HeaderName::from_static("heatherring-load");

/// Requests per second, as a decimal number, that a backend server accepts from all senders
/// together for as long as its answers declare it.
const RATE_LIMIT: HeaderName = HeaderName::from_static("heatherring-rate-limit");

/// Whether a backend server is leaving: `1`, for as long as it runs.
pub const LEAVING: HeaderName = HeaderName::from_static("heatherring-leaving");

/// Headers of answers of backend servers that are read, apart from those of the actions' protocol.
const READ: [&str; 7] = [
    "heatherring-backend",
    "heatherring-cold-ms",
    "heatherring-leaving",
    "heatherring-load",
    "heatherring-outcome",
    "heatherring-rate-limit",
    "heatherring-request-id",
];

/// Backend servers that echo no identifiers are served, over a new connection for each request.
pub(crate) const ECHO_POLICY: EchoPolicy = EchoPolicy::Optional;

/// Implements heatherring's own interface.
#[derive(Clone, Copy, Debug, Default)]
pub struct OwnInterface;

impl EntryInterface for OwnInterface {
    fn read_request(&self, headers: &HeaderMap) -> Result<CallerMetadata, UnreadableHeader> {
        let caller_timeout = match header::number(headers, &header::DEADLINE_MS) {
            Some(Some(millis)) => Some(Duration::from_millis(millis)),
            Some(None) => {
                return Err(UnreadableHeader {
                    name: "heatherring-deadline-ms",
                });
            }
            None => None,
        };
        Ok(CallerMetadata {
            request_id: header::request_id(headers, &header::REQUEST_ID).map(str::to_owned),
            caller_timeout,
            object: header::text(headers, &OBJECT).map(str::to_owned),
        })
    }

    fn write_request_metadata(&self, headers: &mut HeaderMap, metadata: &OutgoingMetadata<'_>) {
        headers.insert(header::DEADLINE_MS, whole_ms(metadata.left).into());
        if let Ok(backend) = HeaderValue::from_str(metadata.backend.as_str()) {
            headers.insert(BACKEND, backend);
        }
        header::set_or_remove(headers, &TEAM, metadata.team.map(TeamName::as_str));
    }

    fn echo_policy(&self) -> EchoPolicy {
        ECHO_POLICY
    }

    fn read_answer<'a>(&self, head: &'a Parts) -> AnswerMetadata<'a> {
        let outcome = header::text(&head.headers, &header::OUTCOME);
        let meaning = if outcome == Some(OUTCOME_NOT_RUN) {
            AnswerMeaning::NotRun
        } else if head.status == StatusCode::MISDIRECTED_REQUEST {
            AnswerMeaning::OtherBackend
        } else {
            AnswerMeaning::Answer
        };
        AnswerMetadata {
            echoed: header::echoed_id(head, &header::REQUEST_ID),
            meaning,
            statement: statement(head),
        }
    }

    fn read_health(&self, head: &Parts, backend: &BackendName) -> Option<HealthMetadata> {
        let answers = header::text(&head.headers, &BACKEND)?;
        let millis = header::number(&head.headers, &COLD_MS).flatten();
        (answers == backend.as_str()).then(|| HealthMetadata {
            statement: statement(head),
            cold_for: Duration::from_millis(millis.unwrap_or(0)),
        })
    }

    fn unread_headers<'a>(&self, headers: &'a HeaderMap) -> Vec<&'a str> {
        header::with_prefix(headers, "heatherring-", &READ)
    }

    fn answer_ready(&self, ready: bool, _req: &Request<RequestBody>) -> Response<AnswerBody> {
        reply::ready(ready)
    }
}

/// Reads what a backend server states about itself.
pub(crate) fn statement(head: &Parts) -> BackendStatement {
    BackendStatement {
        load: header::text(&head.headers, &LOAD).and_then(load_report),
        limit: header::limit_notice(&head.headers, &RATE_LIMIT),
        pushback: header::pushback_notice(head),
        leaving: header::leaving_notice(&head.headers, &LEAVING),
    }
}

fn load_report(text: &str) -> Option<LoadReport> {
    let mut numbers = text.split(',').map(|number| number.parse().ok());
    Some(LoadReport {
        running: numbers.next()??,
        waiting: numbers.next()??,
        slots: numbers.next()??,
    })
}

/// JSON body of an announcement.
#[derive(Debug, Deserialize)]
struct AnnouncementBody {
    backend: BackendName,
    record: BackendRecord,
    /// Version of the backend server's software.
    version: Option<VersionName>,
}

/// JSON body of an order to start a rollout.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RolloutBody {
    service: ServiceName,
    target: VersionName,
    duration_ms: u64,
}

/// JSON body of a manifest: the fields of the route manifest, and `teams` at the same level.
#[derive(Debug, Serialize)]
struct ManifestBody {
    #[serde(flatten)]
    routes: RouteManifest,
    #[serde(skip_serializing_if = "Option::is_none")]
    teams: Option<TeamManifest>,
    #[serde(skip_serializing_if = "BTreeSet::is_empty")]
    bulk_routes: BTreeSet<RouteName>,
}

#[derive(Debug, Serialize)]
struct EntriesBody {
    entries: Vec<String>,
    keep_ms: u64,
}

impl ControlInterface for OwnInterface {
    fn answer_control(
        &self,
        control: FleetControl,
        req: Request<RequestBody>,
    ) -> BoxFuture<'static, Response<AnswerBody>> {
        answer(control, req).boxed()
    }

    fn answer_unstarted(&self) -> Response<AnswerBody> {
        reply::unstarted()
    }
}

impl LookUpInterface for OwnInterface {
    fn answer_look_up(
        &self,
        source: &dyn LookUpSource,
        req: &Request<RequestBody>,
    ) -> Response<AnswerBody> {
        let parameter = |name| query_parameter::find(req.uri(), name);
        let (Some(host), Some(region)) = (parameter("host"), parameter("region")) else {
            return reply::status(StatusCode::BAD_REQUEST);
        };
        match source.look_up(host, &RegionName::new(region)) {
            Some(found) => reply::json(&EntriesBody {
                entries: found.addresses.iter().map(ToString::to_string).collect(),
                keep_ms: whole_ms(found.keep),
            }),
            None => reply::status(StatusCode::SERVICE_UNAVAILABLE),
        }
    }
}

async fn answer(control: FleetControl, req: Request<RequestBody>) -> Response<AnswerBody> {
    let (head, body) = req.into_parts();
    let path: Vec<&str> = head.uri.path().trim_start_matches('/').split('/').collect();
    let max_bytes = match path.as_slice() {
        ["v1", "announcements"] => request_body::MAX_ANNOUNCEMENT_BYTES,
        _ => request_body::MAX_OPERATOR_CALL_BYTES,
    };
    let body = match request_body::read_control_call(body, max_bytes).await {
        Ok(body) => body,
        Err(error) => return reply::text(error.status(), error.to_string()),
    };
    match (&head.method, path.as_slice()) {
        (&Method::POST, ["v1", "announcements"]) => match serde_json::from_slice(&body) {
            Ok(AnnouncementBody {
                backend,
                mut record,
                version,
            }) => {
                if let Some(version) = version {
                    record.version = version;
                }
                done(control.announce(Announcement { backend, record }).await)
            }
            Err(error) => reply::unreadable_announcement(&error),
        },
        (&Method::DELETE, ["v1", "backends", name]) => {
            let born = query_parameter::find(&head.uri, "born").map(str::parse);
            match born.transpose() {
                Ok(born) => done(control.withdraw(BackendName::new(*name), born).await),
                Err(_) => reply::status(StatusCode::BAD_REQUEST),
            }
        }
        (&Method::PUT, ["v1", "evacuations", place]) => {
            done(control.set_evacuated(PlaceName::new(*place), true).await)
        }
        (&Method::DELETE, ["v1", "evacuations", place]) => {
            done(control.set_evacuated(PlaceName::new(*place), false).await)
        }
        (&Method::POST, ["v1", "routes"]) => match parse_json::<FleetChange>(&body) {
            Ok(change) => match route_check::check_weights(&change.routes.content) {
                Ok(()) => changed(control.change_manifest(change).await),
                Err(problem) => {
                    log::info!(event = "routes_change", version = change.routes.version.0, problem:% = problem; "refused a change of the route manifest");
                    changed(Ok(RouteAnswer::Invalid(problem)))
                }
            },
            Err(response) => *response,
        },
        (&Method::GET, ["v1", "routes"]) => match control.manifest().await {
            Ok(FleetManifest {
                routes,
                teams,
                bulk_routes,
            }) => reply::json(&ManifestBody {
                routes,
                teams,
                bulk_routes,
            }),
            Err(error) => reply::unread(&error),
        },
        (&Method::POST, ["v1", "rollouts"]) => match parse_json::<RolloutBody>(&body) {
            Ok(order) => {
                let duration = Duration::from_millis(order.duration_ms);
                let ordered = control.order_rollout(order.service, order.target, duration);
                rollout_ordered(ordered.await)
            }
            Err(response) => *response,
        },
        (&Method::GET, ["v1", "rollouts", service]) => match control.latest_rollouts().await {
            Ok(rollouts) => match rollouts.state.get(&ServiceName::new(*service)) {
                Some(rollout) => reply::json(rollout),
                None => reply::status(StatusCode::NOT_FOUND),
            },
            Err(error) => reply::unread(&error),
        },
        _ => reply::status(StatusCode::NOT_FOUND),
    }
}

fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, Box<Response<AnswerBody>>> {
    serde_json::from_slice(body)
        .map_err(|error| Box::new(reply::text(StatusCode::BAD_REQUEST, error.to_string())))
}

/// Builds the response to a change of the manifest.
fn changed(result: Result<RouteAnswer, FleetError>) -> Response<AnswerBody> {
    match result {
        Ok(answer) => {
            let mut response = reply::json(&answer);
            *response.status_mut() = match answer {
                RouteAnswer::Accepted => StatusCode::OK,
                RouteAnswer::Conflict { .. } => StatusCode::CONFLICT,
                RouteAnswer::Invalid(_) => StatusCode::UNPROCESSABLE_ENTITY,
            };
            response
        }
        Err(error) => reply::failed(&error),
    }
}

/// Builds the response to an order to start a rollout.
fn rollout_ordered(result: Result<RolloutAnswer, FleetError>) -> Response<AnswerBody> {
    match result {
        Ok(answer) => {
            let mut response = reply::json(&answer);
            *response.status_mut() = match answer {
                RolloutAnswer::Accepted => StatusCode::OK,
                RolloutAnswer::InProgress { .. } => StatusCode::CONFLICT,
                RolloutAnswer::UnknownService => StatusCode::UNPROCESSABLE_ENTITY,
            };
            response
        }
        Err(error) => reply::failed(&error),
    }
}

/// Builds the response to a call that returns no content.
fn done(result: Result<(), FleetError>) -> Response<AnswerBody> {
    match result {
        Ok(()) => reply::status(StatusCode::NO_CONTENT),
        Err(error) => reply::failed(&error),
    }
}
