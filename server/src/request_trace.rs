//! What is told about one request afterwards: a log line and metrics.
//!
//! The line holds what decided the request's fate at this entry VM, with the age or version
//! of each input, so that nobody has to ask the processes of that time.

use std::fmt;
use std::time::Duration;

use heatherring_lib::dispatch_request::Choice;
use heatherring_lib::dispatch_request::Refused as NoChoice;
use heatherring_lib::dispatch_request::SendOutcome;
use heatherring_lib::duration_text::whole_ms;
use heatherring_lib::id::BackendName;
use heatherring_lib::id::RouteName;
use heatherring_lib::id::ServiceName;
use heatherring_lib::id::TeamName;
use heatherring_lib::id::VmName;
use heatherring_lib::request_fingerprint::Fingerprint;

use crate::direct_send::Sent;
use crate::log_writer::ROUTINE;
use crate::metric;
use crate::refusal::Refused;

/// Holds what is known of a request.
#[derive(Debug, Default)]
pub(crate) struct RequestTrace {
    pub request_id: Option<String>,
    pub route: Option<RouteName>,
    pub service: Option<ServiceName>,
    /// The caller's team, if it is known.
    pub team: Option<TeamName>,
    /// Names the request in what is told of ended backend servers and of quarantine.
    pub fingerprint: Option<Fingerprint>,
    /// Version of the manifest that decided the route.
    pub version: u64,
    /// Time since that version was last proved to be the newest that is confirmed.
    pub proof_age: Duration,
    /// Time that the caller had left when the request came, at most the route's timeout.
    pub caller_timeout: Duration,
    sends: Vec<SendNote>,
    /// Where the request is at the moment.
    under_way: Option<BackendName>,
    no_choice: Option<NoChoice>,
}

/// Holds what is known of one send.
#[derive(Debug)]
struct SendNote {
    backend: BackendName,
    /// Whether the data were expected to be at hand.
    warm: bool,
    wait: Duration,
    report_age: Option<Duration>,
    expected: Duration,
    /// Time that a new connection took; nothing over one that was kept, or without any.
    connected_in: Option<Duration>,
    took: Duration,
    verdict: SendOutcome,
}

impl fmt::Display for SendNote {
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
        if let Some(connected_in) = self.connected_in {
            write!(f, "connected in {} ms, ", connected_in.as_millis())?;
        }
        write!(
            f,
            "{} after {} ms",
            self.verdict.name(),
            self.took.as_millis()
        )
    }
}

/// Says where and when a request was decided.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Decided<'a> {
    /// The entry VM.
    pub vm: &'a VmName,
    /// Time since the request came.
    pub held: Duration,
    /// Time since control was last in reach.
    pub control_age: Duration,
}

/// Writes one line on a request: what all such lines hold, and the variables named besides.
macro_rules! tell {
    ($target:expr, $event:literal, $trace:expr, $decided:expr, [$($field:ident),*], $text:literal) => {
        log::info!(
            target: $target,
            event = $event,
            vm = $decided.vm.as_str(),
            request_id = $trace.request_id.as_deref().unwrap_or_default(),
            route = $trace.route(),
            service = $trace.service(),
            team = $trace.team(),
            version = $trace.version,
            proof_age_ms = whole_ms($trace.proof_age),
            control_age_ms = whole_ms($decided.control_age),
            patience_ms = whole_ms($trace.caller_timeout),
            sends:% = Sends(&$trace.sends),
            $($field,)*
            held_ms = whole_ms($decided.held);
            $text
        )
    };
}

impl RequestTrace {
    /// Notes that a send begins.
    pub fn note_sending(&mut self, choice: &Choice) {
        self.under_way = Some(choice.name.clone());
    }

    /// Notes how it ended.
    pub fn note_send(&mut self, choice: &Choice, took: Duration, sent: &Sent) {
        let verdict = sent.verdict;
        self.under_way = None;
        if !self.sends.is_empty() {
            metric::resend(true);
        }
        metric::send(verdict, took, choice.wait);
        self.sends.push(SendNote {
            backend: choice.name.clone(),
            warm: choice.warm,
            wait: choice.wait,
            report_age: choice.report_age,
            expected: choice.expected,
            connected_in: sent.connected_in,
            took,
            verdict,
        });
    }

    /// Notes that no backend server was picked.
    pub fn note_no_choice(&mut self, no_choice: NoChoice) {
        self.no_choice = Some(no_choice);
    }

    /// Tells that the request was answered with `status`.
    pub fn tell_answered(&self, decided: &Decided<'_>, status: u16) {
        metric::request("answered", "answered", decided.held);
        tell!(
            ROUTINE,
            "answered",
            self,
            decided,
            [status],
            "a request was answered"
        );
    }

    /// Tells that it wasn't.
    pub fn tell_refused(&self, decided: &Decided<'_>, refused: &Refused) {
        metric::request(refused.outcome(), refused.reason(), decided.held);
        let considered = self.no_choice.map_or(0, |no_choice| no_choice.considered);
        let shortest = self.no_choice.and_then(|no_choice| no_choice.shortest_wait);
        let shortest_wait_ms = shortest.map_or(0, whole_ms);
        let retry_after_ms = refused.retry_after().map_or(0, whole_ms);
        let outcome = refused.outcome();
        let reason = refused.reason();
        let fingerprint = self.fingerprint.map(|fingerprint| fingerprint.to_string());
        let fingerprint = fingerprint.as_deref().unwrap_or_default();
        tell!(
            module_path!(),
            "refused",
            self,
            decided,
            [
                considered,
                shortest_wait_ms,
                retry_after_ms,
                outcome,
                reason,
                fingerprint
            ],
            "a request got no answer"
        );
    }

    /// Tells that the caller left before there was an answer; what was under way for it ends.
    pub fn tell_left(&self, decided: &Decided<'_>) {
        metric::request("left", "caller_left", decided.held);
        let under_way = self.under_way();
        tell!(
            ROUTINE,
            "caller_left",
            self,
            decided,
            [under_way],
            "a caller left before the answer"
        );
    }

    /// Tells that the process ends before there was an answer. The request came `stopped_for`
    /// after the stop was asked for; nothing, if before.
    pub fn tell_cut_off(&self, decided: &Decided<'_>, stopped_for: Duration) {
        metric::request("cut_off", "process_ended", decided.held);
        let under_way = self.under_way();
        let stopped_for_ms = whole_ms(stopped_for);
        tell!(
            module_path!(),
            "cut_off",
            self,
            decided,
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

/// Writes sends one after the other, once a line is surely written: under load most aren't.
struct Sends<'a>(&'a [SendNote]);

impl fmt::Display for Sends<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (number, send) in self.0.iter().enumerate() {
            let separator = if number == 0 { "" } else { "; " };
            write!(f, "{separator}{send}")?;
        }
        Ok(())
    }
}
