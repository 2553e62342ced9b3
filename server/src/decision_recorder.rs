//! Records the decisions on requests, with their inputs.

use heatherring_lib::clock::unix_ms;
use heatherring_lib::decision_record::Decision;
use heatherring_lib::decision_record::DecisionRecord;
use heatherring_lib::decision_record::Distance;
use heatherring_lib::decision_record::LookUpDecision;
use heatherring_lib::decision_record::RefusalDecision;
use heatherring_lib::decision_record::RefusalReason;
use heatherring_lib::decision_record::SteeringDecision;
use heatherring_lib::decision_record::Try;
use heatherring_lib::decision_record::TryEnding;
use heatherring_lib::decision_record::limits_behind;
use heatherring_lib::duration_text::whole_ms;
use heatherring_lib::id::PlaceName;
use heatherring_lib::id::ServiceName;
use heatherring_lib::id::is_name;
use heatherring_lib::lookup::LookupAnswer;
use heatherring_lib::manifest::Manifest;
use heatherring_lib::outcome::Outcome;
use heatherring_lib::shift_budget::Shift;
use heatherring_lib::steering::Candidate;

use http::Method;

use crate::entry_context::EntryContext;
use crate::entry_metrics;
use crate::refusal::Refused;
use crate::request_path::ServiceRequest;

/// Maximum number of characters kept of a method.
const MAX_METHOD_CHARS: usize = 16;

/// Records which entry VM a look-up named.
pub fn look_up(
    cx: &EntryContext,
    request_id: &str,
    manifest: &Manifest,
    service: &ServiceName,
    origin: &PlaceName,
    answer: &LookupAnswer,
) {
    note(cx, request_id, || {
        let info = &answer.entry.info;
        let backups = answer.backups.iter();
        Decision::LookUp(LookUpDecision {
            service: service.clone(),
            origin: origin.clone(),
            distance: Distance::between(manifest, origin, &info.place, &info.region),
            entry: info.vm.clone(),
            backups: backups.map(|session| session.info.vm.clone()).collect(),
        })
    });
}

/// Records that a caller's request was refused.
///
/// The path below the service is left out, since it may contain personal data; so is a service
/// whose name no manifest can contain, since callers could fill the memory with such names.
pub fn refusal(
    cx: &EntryContext,
    request_id: &str,
    method: &Method,
    service: Option<ServiceName>,
    refused: &Refused,
) {
    let reason = match refused {
        Refused::NotRun(not_run) => RefusalReason::NotRun(not_run.reason()),
        Refused::Unknown(unknown) => RefusalReason::Unknown(unknown.reason()),
    };
    let retry_after_ms = refused.retry_after().map_or(0, whole_ms);
    note(cx, request_id, || {
        Decision::Refusal(RefusalDecision {
            method: method.as_str().chars().take(MAX_METHOD_CHARS).collect(),
            service: service.filter(|name| is_name(name.as_str())),
            reason,
            retry_after_ms,
        })
    });
}

/// Records the owners that a request was offered to, unless the first one answered.
pub fn steering(cx: &EntryContext, req: &ServiceRequest, tries: Vec<Try>) {
    let plain = matches!(
        tries.as_slice(),
        [] | [Try {
            ending: TryEnding::Answered,
            ..
        }]
    );
    if plain {
        return;
    }
    note(cx, &req.outgoing.request_id, || {
        let operation = req.operation();
        Decision::Steering(SteeringDecision {
            service: req.service.clone(),
            operation: operation.map_or_else(String::new, |found| found.name.clone()),
            origin: req.origin.clone(),
            tries,
        })
    });
}

/// Describes the result of offering a request to an owner.
pub fn describe_try<A>(
    cx: &EntryContext,
    req: &ServiceRequest,
    candidate: &Candidate,
    outcome: &Outcome<A>,
) -> Try {
    let ending = match outcome {
        Outcome::Answer(_) => TryEnding::Answered,
        Outcome::NotRun(not_run) => TryEnding::NotRun(not_run.reason()),
        Outcome::Unknown(unknown) => TryEnding::Unknown(unknown.reason()),
    };
    let limits = match ending {
        TryEnding::NotRun(reason) => {
            let shift = Shift {
                manifest: &req.in_force.manifest,
                service: &req.service,
                origin: &req.origin,
                place: &candidate.group.place,
            };
            limits_behind(reason, shift)
        }
        TryEnding::Answered | TryEnding::Unknown(_) => Vec::new(),
    };
    let owner = cx.state.session(candidate.owner);
    Try {
        place: candidate.group.place.clone(),
        owner: owner.map_or_else(String::new, |session| session.info.vm.as_str().to_owned()),
        ending,
        limits,
    }
}

fn note(cx: &EntryContext, request_id: &str, decision: impl FnOnce() -> Decision) {
    let noted = cx.decisions.note(|| {
        let view = cx.state.read().view;
        let version = view.manifest.as_ref().map(|held| held.manifest.version);
        DecisionRecord {
            request_id: request_id.to_owned(),
            unix_ms: unix_ms(cx.clock.wall()),
            revision: view.revision,
            manifest_version: version.unwrap_or_default(),
            decision: decision(),
        }
    });
    if !noted {
        entry_metrics::decision_dropped(&cx.metrics);
    }
}
