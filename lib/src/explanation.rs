//! Explanations of recorded decisions in sentences: the rule that was applied and its inputs.

use crate::decision_record::Decision;
use crate::decision_record::DecisionRecord;
use crate::decision_record::Distance;
use crate::decision_record::LookUpDecision;
use crate::decision_record::RefusalDecision;
use crate::decision_record::RefusalReason;
use crate::decision_record::SteeringDecision;
use crate::decision_record::Try;
use crate::decision_record::TryEnding;
use crate::id::ServiceName;
use crate::id::VmName;
use crate::outcome::NotRunReason;
use crate::outcome::UnknownReason;

/// Explains a decision, one sentence per line.
#[must_use]
pub fn explain(record: &DecisionRecord) -> Vec<String> {
    match &record.decision {
        Decision::LookUp(look_up) => explain_look_up(look_up),
        Decision::Steering(steering) => explain_steering(steering),
        Decision::Refusal(refusal) => explain_refusal(refusal),
    }
}

fn explain_look_up(look_up: &LookUpDecision) -> Vec<String> {
    let distance = match look_up.distance {
        Distance::SamePlace => "in the caller's place",
        Distance::SameRegion => {
            "in the caller's region, because the caller's place has no usable entry VM"
        }
        Distance::OtherRegion => {
            "in another region, because the caller's region has no usable entry VM; it counted \
             against the shift caps"
        }
    };
    let backups: Vec<&str> = look_up.backups.iter().map(VmName::as_str).collect();
    let backups = if backups.is_empty() {
        "none".to_owned()
    } else {
        backups.join(", ")
    };
    vec![
        format!(
            "look-up of {} by a caller at {}: use {}",
            look_up.service, look_up.origin, look_up.entry
        ),
        format!(
            "rule: the nearest entry VM that is neither leaving nor drained; among equally near \
             ones each caller has its own order (rendezvous hashing). This one is {distance}"
        ),
        format!("backups: {backups}"),
    ]
}

fn explain_steering(steering: &SteeringDecision) -> Vec<String> {
    let mut lines = vec![
        format!(
            "{} of {} for a caller at {}: {} tries",
            steering.operation,
            steering.service,
            steering.origin,
            steering.tries.len()
        ),
        "rule: the nearest place first, unless its pressure exceeds that of another place; the \
         owner of the place's backend servers decides"
            .to_owned(),
    ];
    for (index, a_try) in steering.tries.iter().enumerate() {
        lines.push(format!("try {}: {}", index + 1, explain_try(a_try)));
        for limit in &a_try.limits {
            lines.push(format!("  {limit}"));
        }
    }
    lines
}

fn explain_try(a_try: &Try) -> String {
    let ending = match a_try.ending {
        TryEnding::Answered => "answered".to_owned(),
        TryEnding::NotRun(reason) => format!("not run, {}: {}", reason.as_str(), rule(reason)),
        TryEnding::Unknown(reason) => {
            format!(
                "may have run, {}: {}",
                reason.as_str(),
                unknown_rule(reason)
            )
        }
    };
    let owner = if a_try.owner.is_empty() {
        "an entry VM that has gone"
    } else {
        &a_try.owner
    };
    format!("{} through {owner}, {ending}", a_try.place)
}

fn explain_refusal(refusal: &RefusalDecision) -> Vec<String> {
    let (outcome, reason, rule) = match refusal.reason {
        RefusalReason::NotRun(reason) => ("not run", reason.as_str(), rule(reason)),
        RefusalReason::Unknown(reason) => ("unknown", reason.as_str(), unknown_rule(reason)),
    };
    let retry_after = match refusal.retry_after_ms {
        0 => "a retry is of no use".to_owned(),
        ms => format!("retry after {ms} ms"),
    };
    let service = refusal
        .service
        .as_ref()
        .map_or("no service", ServiceName::as_str);
    vec![
        format!("{} to {service}: {outcome}, {reason}", refusal.method),
        format!("rule: {rule}"),
        retry_after,
    ]
}

/// Returns the rule that leads to a proven "not run".
const fn rule(reason: NotRunReason) -> &'static str {
    match reason {
        NotRunReason::MalformedRequest => "the request is malformed",
        NotRunReason::BodyTooLarge => "the body is above limits.max_body_bytes of the settings",
        NotRunReason::ServiceUnknown => "the manifest has no service of this name",
        NotRunReason::OperationUnknown => {
            "no operation of the service has this method and a prefix of this path"
        }
        NotRunReason::RouteUnknown => "no route has this host and a prefix of this path",
        NotRunReason::RouteUnconfirmed => {
            "no route known here has this host and a prefix of this path, and control, which may \
             know of new ones, cannot be reached"
        }
        NotRunReason::BackendMisdirected => "another backend server has the address now",
        NotRunReason::NoResend => "resends are limited to a share of the requests",
        NotRunReason::CredentialMissing => {
            "the route is not public, and the request has no key or several"
        }
        NotRunReason::CredentialUnknown => "no team of the manifest has the request's key",
        NotRunReason::CredentialWithdrawn => {
            "the key was removed from its team while the request waited"
        }
        NotRunReason::CredentialChanged => {
            "the key was moved to another team while the request waited"
        }
        NotRunReason::CredentialUnconfirmed => {
            "no team known here has the request's key, and control, which may know of new ones, \
             cannot be reached"
        }
        NotRunReason::NoCommonHome => "no region is a home region of both the team and the route",
        NotRunReason::TeamLimit => "the team's limit over all entry VMs is reached",
        NotRunReason::LimitUnconfirmed => {
            "the team has a limit, and no control replica that apportions it could be reached"
        }
        NotRunReason::NoManifest => "no manifest has been accepted yet",
        NotRunReason::LeaseLapsed => {
            "the entry VM's lease has expired, so its view may be outdated; it accepts no new \
             requests until control answers"
        }
        NotRunReason::Leaving => "a process that is leaving accepts no new requests",
        NotRunReason::NoBackendServer => "no backend server is announced and ready",
        NotRunReason::Overloaded => {
            "all slots are taken and the queue is full, or long bodies of other requests take the \
             memory for them"
        }
        NotRunReason::DeadlineTooShort => {
            "the wait for a slot and the usual service time exceed the time left before the deadline"
        }
        NotRunReason::PlaceLimit => "the place's limit for the service is reached",
        NotRunReason::ShiftCap => {
            "a cap on shifts is used up; the shift waits until the one-second window advances"
        }
        NotRunReason::LinkLimit => {
            "the limit of a link between regions is reached; the shift waits until the link has capacity"
        }
        NotRunReason::LinkFull => {
            "this entry VM's own link is saturated, and other entry VMs may have capacity: it \
             connects slowly to all backend servers, or, where the rate of its link is known, the \
             bytes of the answers before this one do not leave enough time"
        }
        NotRunReason::OwnerUnreachable => "the owner of the backend servers cannot be reached",
        NotRunReason::NotOwner => {
            "the entry VM that was asked is not the owner, or may not dispatch before the revision \
             that made it the owner is settled"
        }
        NotRunReason::TooManyHops => "a request is forwarded a limited number of times",
        NotRunReason::BackendUnreachable => {
            "no connection to the backend server could be established"
        }
        NotRunReason::BackendLimit => {
            "all backend servers that may run the request declare rate limits, and this entry VM's \
             shares of them are used up"
        }
        NotRunReason::BackendPaused => {
            "all backend servers that may run the request asked this entry VM to send nothing for a \
             time, or are at their rate limits"
        }
        NotRunReason::BackendRefused => "the backend server refused the request before running it",
        NotRunReason::Quarantined => {
            "backend servers failed one after the other while they ran this request; `heatherring \
             quarantine` lists and lifts the quarantine"
        }
        NotRunReason::Cancelled => "the caller disconnected",
        NotRunReason::KeyMissing => "an operation that is not idempotent requires Idempotency-Key",
        NotRunReason::KeyMalformed => "a key consists of a ticket, a full stop and a random part",
        NotRunReason::TicketInvalid => "the ticket was not issued by this deployment",
        NotRunReason::TicketOfOtherService => "the ticket was issued for another service",
        NotRunReason::KeyConflict => "the key is already in use for another request",
        NotRunReason::KeyFenced => "the key was fenced: it never ran and never will",
        NotRunReason::BackupUnreachable | NotRunReason::BackupRefused | NotRunReason::NoBackup => {
            "an action is dispatched only after a second entry VM has recorded it"
        }
        NotRunReason::ActionStoreFull => {
            "the memory for actions is full of records that must be kept"
        }
    }
}

/// Returns the rule that leads to "unknown".
const fn unknown_rule(reason: UnknownReason) -> &'static str {
    match reason {
        UnknownReason::RefusalUnproved => {
            "the backend server's status means \"not run\" to callers, but it did not state so"
        }
        UnknownReason::AnswerMalformed => {
            "the backend server's answer contradicts itself or does not tell where it ends"
        }
        UnknownReason::AnswerMismatched => "an answer to another request arrived on the connection",
        UnknownReason::ConnectionLost | UnknownReason::OwnerLost => {
            "the connection was lost after the request may have been sent"
        }
        UnknownReason::EntryStopped => {
            "the entry VM stopped after the request may have been sent and before it was answered"
        }
        UnknownReason::DeadlinePassed => "the deadline passed after the request may have been sent",
        UnknownReason::ActionRecorded => {
            "the action was recorded, so it may run or have run, and is not run again"
        }
        UnknownReason::AnswerTooLarge | UnknownReason::AnswerNotKept => {
            "the action ran, and its answer was not kept"
        }
        UnknownReason::TicketExpired | UnknownReason::TicketAheadOfClock => {
            "records of a key may be dropped outside the validity of its ticket"
        }
        UnknownReason::RecordsUnreachable => "neither entry VM that records the key has answered",
        UnknownReason::ActionStoreFull => {
            "the memory for actions is full, so the key could not be fenced"
        }
    }
}
