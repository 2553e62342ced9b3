//! Counters and histograms of a process, served as text on its metrics address.
//!
//! All names and labels are defined here. Label values come from fixed lists, so that callers
//! cannot increase the number of series. Without a metrics address nothing is recorded.
//! docs/metrics.md describes each metric.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;

use heatherring_lib::answer_framing::AnswerFault;
use heatherring_lib::answer_pairing::EchoMatch;
use heatherring_lib::answer_size::AnswerKind;
use heatherring_lib::clock::Clock;
use heatherring_lib::dispatch_request::PassedOver;
use heatherring_lib::dispatch_request::SendOutcome;
use heatherring_lib::link_load::LinkLoad;
use heatherring_lib::replica_watch::MemberCounts;
use heatherring_lib::token_cache::LimitDecision;
use heatherring_lib::token_cache::TokenCounts;
use heatherring_lib::token_shard::Draw;
use heatherring_lib::token_shard::Drawn;
use http::Request;
use http::Response;
use http::header;
use metrics::counter;
use metrics::gauge;
use metrics::histogram;
use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::answer_body;
use crate::answer_body::AnswerBody;
use crate::http_server;
use crate::http_server::Admittance;
use crate::http_server::Arrival;
use crate::http_server::ConnectionLimits;
use crate::http_server::ConnectionUsage;
use crate::http_server::Handler;
use crate::http_server::HttpBounds;
use crate::http_server::HttpVersions;
use crate::http_server::LimitsSource;
use crate::request_body::RequestBody;

/// Upper bounds of the histograms' buckets, in seconds: the users' latency objectives lie
/// between 0.2 s and 1 s, their deadlines between 0.8 s and 8 s.
const BUCKETS: [f64; 13] = [
    0.002, 0.01, 0.03, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 3.0, 5.0, 8.0,
];

/// Interval at which the library sorts observations into buckets.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Largest number of open connections to the metrics address.
const MAX_CONNECTIONS: usize = 8;

/// Limits of each of these connections.
const LIMITS: ConnectionLimits = ConnectionLimits {
    max_header_bytes: 8 << 10,
    header_timeout: Duration::from_secs(10),
    idle_timeout: Duration::from_secs(10),
};

static HANDLE: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

/// Counts a request of a caller and records its time to the head of the answer.
pub fn request(outcome: &'static str, reason: &'static str, took: Duration) {
    counter!("heatherring_requests_total", "outcome" => outcome, "reason" => reason).increment(1);
    histogram!("heatherring_request_seconds", "outcome" => outcome).record(took);
}

/// Counts a request that was read before an earlier one on its connection was answered.
pub fn read_ahead() {
    counter!("heatherring_requests_read_ahead_total").increment(1);
}

/// Counts a stage that a rollout has reached.
pub fn rollout(phase: &'static str) {
    counter!("heatherring_rollout_stages_total", "phase" => phase).increment(1);
}

/// Adds the time, in microseconds, that a control replica spent on a kind of work.
pub fn control_work(kind: &'static str, us: u64) {
    counter!("heatherring_control_work_microseconds_total", "kind" => kind).increment(us);
}

/// Counts an announcement that does not describe a usable backend server.
pub fn announcement_refused() {
    counter!("heatherring_announcements_refused_total").increment(1);
}

/// Counts one send to a backend server by its outcome; records its duration and the wait that
/// had been expected there.
pub fn send(verdict: SendOutcome, took: Duration, expected_wait: Duration) {
    counter!("heatherring_sends_total", "verdict" => verdict.name()).increment(1);
    histogram!("heatherring_send_seconds").record(took);
    histogram!("heatherring_expected_wait_seconds").record(expected_wait);
}

/// Counts an attempt to connect to a backend server by its result, and records its duration.
pub fn connect(result: &'static str, took: Duration) {
    counter!("heatherring_connects_total", "result" => result).increment(1);
    histogram!("heatherring_connect_seconds").record(took);
}

/// Counts a limit that a backend server declared or changed, or one that ended.
pub fn backend_limit(in_force: bool) {
    let state = if in_force { "declared" } else { "ended" };
    counter!("heatherring_backend_limits_total", "state" => state).increment(1);
}

/// Counts the pushbacks of backend servers that began.
pub fn backend_paused() {
    counter!("heatherring_backend_pushbacks_total").increment(1);
}

/// Counts how often a backend server began to be avoided since it refused several requests in a row.
pub fn backend_refusing() {
    counter!("heatherring_backends_refusing_total").increment(1);
}

/// Counts backend servers that became known to leave, by the source of their statement.
pub fn backend_leaving(source: &'static str) {
    counter!("heatherring_backends_leaving_total", "source" => source).increment(1);
}

/// Counts backend servers with a statement that cannot be read, by its kind.
pub fn statement_unreadable(kind: &'static str) {
    counter!("heatherring_backend_statements_unreadable_total", "kind" => kind).increment(1);
}

/// Counts answers that do not name the request that waits for them.
pub fn answer_mismatch(echo: EchoMatch) {
    counter!("heatherring_answers_mismatched_total", "echo" => echo.name()).increment(1);
}

/// Counts answers that cannot be acted on, by their fault.
pub fn answer_malformed(fault: AnswerFault) {
    counter!("heatherring_answers_malformed_total", "fault" => fault.name()).increment(1);
}

/// Counts refusals that do not name the request that waits for an answer.
pub fn refusal_unproved() {
    counter!("heatherring_refusals_unproved_total").increment(1);
}

/// Counts the names of headers by which backend servers state something that is not read.
pub fn unread_header(name: &str) {
    counter!("heatherring_backend_headers_unread_total", "header" => name.to_owned()).increment(1);
}

/// Counts backend servers that a request was not sent to because their limits were used up, or
/// because they had asked for a time without requests.
pub fn passed_over(passed_over: PassedOver) {
    let count = |count: usize| u64::try_from(count).unwrap_or(u64::MAX);
    counter!("heatherring_backend_limit_passed_over_total").increment(count(passed_over.limited));
    counter!("heatherring_backend_pushback_passed_over_total").increment(count(passed_over.paused));
}

/// Counts a resend that was made, or was denied because the budget was exhausted.
pub fn resend(allowed: bool) {
    let result = if allowed { "sent" } else { "no_budget" };
    counter!("heatherring_resends_total", "result" => result).increment(1);
}

/// Counts a request of a team with a limit by the decision on it.
pub fn limit(ruling: LimitDecision) {
    let result = match ruling {
        LimitDecision::Run => "within",
        LimitDecision::OverLimit { .. } => "over",
        LimitDecision::Unconfirmed { .. } => "unconfirmed",
    };
    counter!("heatherring_team_limits_total", "result" => result).increment(1);
}

/// Counts a reply to a request for tokens and records its round trip.
pub fn token_reply(took: Duration) {
    histogram!("heatherring_token_round_trip_seconds").record(took);
}

/// Counts what has happened to requests for tokens and to the tokens that an entry VM held.
pub fn token_counts(counts: TokenCounts) {
    counter!("heatherring_token_replies_late_total").increment(counts.hedged);
    counter!("heatherring_token_replies_lost_total").increment(counts.lost);
    counter!("heatherring_tokens_lapsed_total").increment(counts.lapsed);
}

/// Counts tokens that were requested from this replica and issued.
pub fn tokens(draw: &Draw, drawn: &Drawn) {
    let given = drawn.count.min(draw.waiting);
    counter!("heatherring_tokens_asked_total").increment(u64::from(draw.waiting));
    counter!("heatherring_tokens_given_total").increment(u64::from(given));
    counter!("heatherring_tokens_given_ahead_total").increment(u64::from(drawn.count - given));
}

/// Counts a backend server that ended with requests in flight, and these requests.
pub fn backend_ended(standing: usize) {
    counter!("heatherring_backends_ended_total").increment(1);
    counter!("heatherring_requests_on_ended_backends_total")
        .increment(u64::try_from(standing).unwrap_or(u64::MAX));
}

/// Sets the number of requests suspected of crashing backend servers, and how many of these are
/// quarantined.
pub fn suspects(suspected: usize, quarantined: usize) {
    #[expect(clippy::cast_precision_loss, reason = "counts far below 2^52")]
    let (suspected, quarantined) = (suspected as f64, quarantined as f64);
    gauge!("heatherring_requests_suspected").set(suspected);
    gauge!("heatherring_requests_quarantined").set(quarantined);
}

/// Sets the manifest version and the revision of the view of the fleet in force here.
pub fn view(version: u64, revision: u64) {
    #[expect(clippy::cast_precision_loss, reason = "counts far below 2^52")]
    let (version, revision) = (version as f64, revision as f64);
    gauge!("heatherring_manifest_version").set(version);
    gauge!("heatherring_view_revision").set(revision);
}

/// Sets the share of its size by which this entry VM is to be named in answers to look-ups.
pub fn headroom(share: f64) {
    gauge!("heatherring_headroom_share").set(share);
}

/// Counts addresses that answers to look-ups named.
pub fn named(in_region: usize, overflow: usize) {
    let count = |count| u64::try_from(count).unwrap_or(u64::MAX);
    counter!("heatherring_named_total", "region" => "own").increment(count(in_region));
    if overflow > 0 {
        counter!("heatherring_named_total", "region" => "overflow").increment(count(overflow));
    }
}

/// Sets the time since the last contact with control, and the age of the last proof that the
/// view of the fleet included every committed change.
pub fn control_silent(since: Duration, proof_age: Duration) {
    gauge!("heatherring_control_silent_seconds").set(since.as_secs_f64());
    gauge!("heatherring_control_proof_seconds").set(proof_age.as_secs_f64());
}

/// Records the time from this replica learning of a manifest until an entry VM that follows it
/// reports the manifest to be in force there.
pub fn in_force(after: Duration) {
    histogram!("heatherring_in_force_seconds").record(after);
}

/// Counts an entry VM that has used an outdated manifest for too long.
pub fn entry_behind() {
    counter!("heatherring_entries_behind_total").increment(1);
}

/// Counts a control replica found unusable by an entry VM.
pub fn control_lost() {
    counter!("heatherring_control_lost_total").increment(1);
}

/// Counts a change of a replica's role, and sets its term.
pub fn role(role: &'static str, term: u64) {
    counter!("heatherring_role_changes_total", "role" => role).increment(1);
    #[expect(clippy::cast_precision_loss, reason = "counts far below 2^52")]
    gauge!("heatherring_term").set(term as f64);
}

/// Sets the time for which this replica has known of no leader.
pub fn leaderless(time: Duration) {
    gauge!("heatherring_leaderless_seconds").set(time.as_secs_f64());
}

/// Sets the numbers of voters and learners that a leader sees, or a replica that is not elected.
pub fn members(counts: MemberCounts) {
    #[expect(clippy::cast_precision_loss, reason = "counts far below 2^52")]
    let set = |name, state, count: usize| gauge!(name, "state" => state).set(count as f64);
    set("heatherring_voters", "live", counts.voters_live);
    set("heatherring_voters", "silent", counts.voters_silent);
    set("heatherring_learners", "caught_up", counts.learners_ready);
    set("heatherring_learners", "behind", counts.learners_behind);
}

/// Records the duration of a sync of a replica's disk.
pub fn log_sync(took: Duration) {
    histogram!("heatherring_log_sync_seconds").record(took);
}

/// Records whether the disk of this replica refuses records for want of space.
pub fn disk_full(full: bool) {
    gauge!("heatherring_disk_full").set(if full { 1.0 } else { 0.0 });
}

/// Counts an operator's call or a backend server's change by its result.
pub fn order(kind: &'static str, result: &'static str) {
    counter!("heatherring_orders_total", "kind" => kind, "result" => result).increment(1);
}

/// Counts bytes of answers that crossed this entry VM's link, once in each direction.
pub fn link_bytes(kind: AnswerKind, bytes: u64) {
    for direction in ["in", "out"] {
        counter!("heatherring_link_bytes_total", "direction" => direction, "kind" => kind.name())
            .increment(bytes);
    }
}

/// Sets the load of this entry VM's link, and the number of large answers that wait for it.
pub fn link_load(load: LinkLoad, waiting: usize) {
    #[expect(clippy::cast_precision_loss, reason = "a count far below 2^52")]
    let waiting = waiting as f64;
    gauge!("heatherring_link_used_ratio").set(load.used);
    gauge!("heatherring_link_backlog_seconds").set(load.backlog);
    gauge!("heatherring_link_streams_waiting").set(waiting);
}

/// Counts a request that was refused for the bytes of its answer.
pub fn link_refused(kind: AnswerKind) {
    counter!("heatherring_link_refused_total", "kind" => kind.name()).increment(1);
}

/// Counts a log line that was dropped.
pub fn log_line_dropped() {
    counter!("heatherring_log_lines_dropped_total").increment(1);
}

/// Counts answers that were ended because of their bytes or their deadlines, by the part that did
/// not end.
pub fn answer_unending(part: &'static str) {
    counter!("heatherring_answers_unending_total", "part" => part).increment(1);
}

/// Starts recording, and serves the metrics as text until `stop` is cancelled.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn serve(
    address: SocketAddr,
    clock: Arc<dyn Clock>,
    stop: CancellationToken,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    let Some(handle) = HANDLE.get_or_init(record).clone() else {
        return Ok(());
    };
    tokio::spawn(upkeep(handle.clone()));
    let handler = TextHandler { handle };
    let bounds = HttpBounds {
        max_connections: MAX_CONNECTIONS,
        usage: ConnectionUsage::default(),
        limits: LimitsSource::fixed(LIMITS),
        versions: HttpVersions::Http1,
        clock,
    };
    tokio::spawn(http_server::serve(
        listener,
        Admittance::Anybody,
        bounds,
        handler,
        stop.into(),
    ));
    Ok(())
}

fn record() -> Option<PrometheusHandle> {
    let builder = PrometheusBuilder::new().set_buckets(&BUCKETS);
    let recorder = match builder {
        Ok(builder) => builder.build_recorder(),
        Err(error) => {
            log::error!(event = "metrics_unavailable", error:% = error; "cannot record metrics");
            return None;
        }
    };
    let handle = recorder.handle();
    if let Err(error) = metrics::set_global_recorder(recorder) {
        log::error!(event = "metrics_unavailable", error:% = error; "cannot record metrics");
        return None;
    }
    Some(handle)
}

async fn upkeep(handle: PrometheusHandle) {
    loop {
        tokio::time::sleep(UPKEEP_INTERVAL).await;
        handle.run_upkeep();
    }
}

#[derive(Clone)]
struct TextHandler {
    handle: PrometheusHandle,
}

impl Handler for TextHandler {
    async fn handle(&self, _arrival: Arrival, _req: Request<RequestBody>) -> Response<AnswerBody> {
        let mut response = Response::new(answer_body::full(self.handle.render()));
        let kind = header::HeaderValue::from_static("text/plain; version=0.0.4");
        response.headers_mut().insert(header::CONTENT_TYPE, kind);
        response
    }
}
