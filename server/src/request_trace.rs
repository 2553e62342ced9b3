//! Log line and metrics on the end of a request.
//!
//! The line holds the inputs that decided the request's fate at this entry VM, each with its age
//! or version, so that the state of the processes at that time need not be reconstructed.

use std::fmt;
use std::time::Duration;

use heatherring_lib::answer_pairing::EchoMatch;
use heatherring_lib::dispatch_request::Choice;
use heatherring_lib::dispatch_request::PassedOver;
use heatherring_lib::dispatch_request::Refused as NoChoice;
use heatherring_lib::dispatch_request::SendOutcome;
use heatherring_lib::duration_text::whole_ms;
use heatherring_lib::id::BackendName;
use heatherring_lib::id::RouteName;
use heatherring_lib::id::ServiceName;
use heatherring_lib::id::TeamName;
use heatherring_lib::id::VmName;
use heatherring_lib::rate_limit::RequestRate;
use heatherring_lib::request_fingerprint::Fingerprint;

use crate::direct_send::Sent;
use crate::log_writer::ROUTINE;
use crate::metric;
use crate::received_head::ReceivedHead;
use crate::refusal::Refused;

/// What has been recorded about a request.
#[derive(Debug, Default)]
pub(crate) struct RequestTrace {
    pub request_id: Option<String>,
    pub route: Option<RouteName>,
    pub service: Option<ServiceName>,
    /// The caller's team, if known.
    pub team: Option<TeamName>,
    /// Identifies the request in log lines about ended backend servers and quarantine.
    pub fingerprint: Option<Fingerprint>,
    /// Version of the manifest that determined the route.
    pub version: u64,
    /// Time since that version was last proved to be the newest committed one.
    pub proof_age: Duration,
    /// Time that the caller had left when the request arrived, at most the route's time-out.
    pub caller_timeout: Duration,
    sends: Vec<SendRecord>,
    /// The backend server that the request is currently sent to.
    under_way: Option<BackendName>,
    no_choice: Option<NoChoice>,
}

/// What has been recorded about one send.
#[derive(Debug)]
struct SendRecord {
    backend: BackendName,
    /// Whether the backend server was expected to have the data cached.
    warm: bool,
    wait: Duration,
    report_age: Option<Duration>,
    expected: Duration,
    /// Time to establish the connection; `None` if one was reused or none was established.
    connected_in: Option<Duration>,
    took: Duration,
    verdict: SendOutcome,
    /// The answer that was received; `None` without one.
    received: Option<ReceivedHead>,
    /// Rate limit that the backend server was known to have declared.
    limit: Option<RequestRate>,
    /// Backend servers that were passed over.
    passed_over: PassedOver,
}

impl fmt::Display for SendRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let data = if self.warm { "at hand" } else { "not at hand" };
        write!(
            f,
            "{}: data {data}, wait {} ms expected from a report ",
            self.backend.as_str(),
            self.wait.as_millis()
        )?;
        match self.report_age {
            Some(age) => write!(f, "{} ms old", age.as_millis())?,
            None => f.write_str("never given")?,
        }
        write!(f, ", answer {} ms expected, ", self.expected.as_millis())?;
        if let Some(limit) = self.limit {
            write!(f, "limit {limit}, ")?;
        }
        let PassedOver { limited, paused } = self.passed_over;
        if limited > 0 {
            write!(f, "{limited} at their limits passed over, ")?;
        }
        if paused > 0 {
            write!(f, "{paused} paused passed over, ")?;
        }
        if let Some(connected_in) = self.connected_in {
            write!(f, "connected in {} ms, ", connected_in.as_millis())?;
        }
        write!(
            f,
            "{} after {} ms",
            self.verdict.name(),
            self.took.as_millis()
        )?;
        let unusual = self.received.filter(|received| {
            let is_plain = self.verdict == SendOutcome::Answered && received.status.is_success();
            !is_plain || received.echo != EchoMatch::Same
        });
        if let Some(received) = unusual {
            write!(f, " by {received}")?;
        }
        Ok(())
    }
}

/// Context of a request's completion.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CompletionInfo<'a> {
    /// This entry VM.
    pub vm: &'a VmName,
    /// Time since the request arrived.
    pub held: Duration,
    /// Time since the last contact with control.
    pub control_age: Duration,
}

/// Writes a log line on a request: the fields that all such lines have, and the given variables.
macro_rules! log_request {
    ($target:expr, $event:literal, $trace:expr, $completion:expr, [$($field:ident),*], $text:literal) => {
        log::info!(
            target: $target,
            event = $event,
            vm = $completion.vm.as_str(),
            request_id = $trace.request_id.as_deref().unwrap_or_default(),
            route = $trace.route(),
            service = $trace.service(),
            team = $trace.team(),
            version = $trace.version,
            proof_age_ms = whole_ms($trace.proof_age),
            control_age_ms = whole_ms($completion.control_age),
            patience_ms = whole_ms($trace.caller_timeout),
            sends:% = Sends(&$trace.sends),
            $($field,)*
            held_ms = whole_ms($completion.held);
            $text
        )
    };
}

impl RequestTrace {
    /// Records that a send begins.
    pub fn note_sending(&mut self, choice: &Choice) {
        self.under_way = Some(choice.name.clone());
    }

    /// Records how a send ended.
    pub fn note_send(&mut self, choice: &Choice, took: Duration, sent: &Sent) {
        let verdict = sent.verdict;
        self.under_way = None;
        if !self.sends.is_empty() {
            metric::resend(true);
        }
        metric::send(verdict, took, choice.wait);
        metric::passed_over(choice.passed_over);
        self.sends.push(SendRecord {
            backend: choice.name.clone(),
            warm: choice.warm,
            wait: choice.wait,
            report_age: choice.report_age,
            expected: choice.expected,
            connected_in: sent.connected_in,
            took,
            verdict,
            received: sent.received,
            limit: choice.limit,
            passed_over: choice.passed_over,
        });
    }

    /// Records that no backend server was chosen.
    pub fn note_no_choice(&mut self, no_choice: NoChoice) {
        self.no_choice = Some(no_choice);
    }

    /// Logs that the request was answered with `status`.
    pub fn log_answered(&self, completion: &CompletionInfo<'_>, status: u16) {
        metric::request("answered", "answered", completion.held);
        log_request!(
            ROUTINE,
            "answered",
            self,
            completion,
            [status],
            "a request was answered"
        );
    }

    /// Logs that the request was refused.
    pub fn log_refused(&self, completion: &CompletionInfo<'_>, refused: &Refused) {
        metric::request(refused.outcome(), refused.reason(), completion.held);
        let considered = self.no_choice.map_or(0, |no_choice| no_choice.considered);
        let shortest = self.no_choice.and_then(|no_choice| no_choice.shortest_wait);
        let shortest_wait_ms = shortest.map_or(0, whole_ms);
        let retry_after_ms = refused.retry_after().map_or(0, whole_ms);
        let outcome = refused.outcome();
        let reason = refused.reason();
        let fingerprint = self.fingerprint.map(|fingerprint| fingerprint.to_string());
        let fingerprint = fingerprint.as_deref().unwrap_or_default();
        log_request!(
            module_path!(),
            "refused",
            self,
            completion,
            [
                considered,
                shortest_wait_ms,
                retry_after_ms,
                outcome,
                reason,
                fingerprint
            ],
            "a request was refused or has an unknown outcome"
        );
    }

    /// Logs that the caller disconnected before there was an answer, which cancels the send in
    /// progress.
    pub fn log_caller_left(&self, completion: &CompletionInfo<'_>) {
        metric::request("left", "caller_left", completion.held);
        let under_way = self.under_way();
        log_request!(
            ROUTINE,
            "caller_left",
            self,
            completion,
            [under_way],
            "the caller disconnected before the answer"
        );
    }

    /// Logs that the process ends before there is an answer. The request arrived `stopped_for`
    /// after the stop was requested; zero if before.
    pub fn log_cut_off(&self, completion: &CompletionInfo<'_>, stopped_for: Duration) {
        metric::request("cut_off", "process_ended", completion.held);
        let under_way = self.under_way();
        let stopped_for_ms = whole_ms(stopped_for);
        log_request!(
            module_path!(),
            "cut_off",
            self,
            completion,
            [under_way, stopped_for_ms],
            "the process ends before the answer"
        );
    }

    fn under_way(&self) -> &str {
        self.under_way.as_ref().map_or("", |name| name.as_str())
    }

    fn route(&self) -> &str {
        self.route.as_ref().map_or("", |name| name.as_str())
    }

    fn team(&self) -> &str {
        self.team.as_ref().map_or("", |name| name.as_str())
    }

    fn service(&self) -> &str {
        self.service.as_ref().map_or("", |name| name.as_str())
    }
}

/// Formats sends one after the other, and only when a line is actually written: under load most
/// are not.
struct Sends<'a>(&'a [SendRecord]);

impl fmt::Display for Sends<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (number, send) in self.0.iter().enumerate() {
            let separator = if number == 0 { "" } else { "; " };
            write!(f, "{separator}{send}")?;
        }
        Ok(())
    }
}
