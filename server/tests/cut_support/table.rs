//! A table of cuts, and the judgement of what callers get of each.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::task::JoinSet;

use super::backend::Cut;
use super::backend::Dialect;
use super::backend::End;
use super::backend::Ledger;
use super::caller::Caller;
use super::caller::Seen;
use super::form::Form;
use super::form::WholeAnswer;

/// Number of times that a request is sent that does not arrive at a backend server.
const MAX_TRIES: usize = 40;

/// Time between two of them.
const PAUSE: Duration = Duration::from_millis(50);

/// Number of violations that are shown.
const SHOWN: usize = 12;

/// How a caller asks.
#[derive(Clone, Copy, Debug)]
pub struct Manner {
    pub method: &'static str,
    /// Begin of the path, up to the key.
    pub prefix: &'static str,
    pub version: &'static str,
    /// Header lines beside those that name the host and the request.
    pub lines: &'static str,
    /// Length of the body.
    pub body: usize,
    /// Number of backend servers that the request may reach.
    pub max_attempts: usize,
}

impl Manner {
    pub const fn new(method: &'static str, prefix: &'static str) -> Self {
        Self {
            method,
            prefix,
            version: "1.1",
            lines: "",
            body: 0,
            max_attempts: 1,
        }
    }

    fn is_head(&self) -> bool {
        self.method == "HEAD"
    }

    /// Returns the request with this key.
    pub fn request(&self, key: &str, host: &str, id: &str) -> Vec<u8> {
        let Self {
            method,
            prefix,
            version,
            lines,
            body,
            ..
        } = self;
        let head = format!(
            "{method} {prefix}{key} HTTP/{version}\r\nhost: {host}\r\n{id}: {key}\r\n\
             content-length: {body}\r\n{lines}\r\n"
        );
        [head.into_bytes(), vec![b'x'; *body]].concat()
    }
}

/// Where callers ask.
#[derive(Clone, Debug)]
pub struct Target {
    pub address: SocketAddr,
    pub host: String,
    /// Whether an answer may end with the connection of its backend server.
    pub permits_close: bool,
    /// Number of requests in flight.
    pub workers: usize,
}

/// A cut, and how it is asked for.
#[derive(Clone, Debug)]
pub struct Row {
    pub key: String,
    pub cut: Cut,
    pub manner: Manner,
    /// Whether a whole answer is asked for before it, which leaves a connection to a backend server.
    pub is_second: bool,
    /// Whether it is sent between two requests with whole answers, before the first is answered.
    pub is_pipelined: bool,
}

/// Returns rows that cut the answers of `forms` where `cuts` says.
pub fn rows(
    dialect: Dialect,
    forms: &[Form],
    ends: &[End],
    manner: Manner,
    cuts: fn(&WholeAnswer) -> Vec<usize>,
) -> Vec<Row> {
    // The lengths of keys, and so of answers, are all the same.
    let key = |number: usize| format!("cut-{number:06}");
    let mut rows = Vec::new();
    for form in forms.iter().copied() {
        let whole = form.answer(&key(0), &dialect.lines_for(&key(0)), manner.is_head());
        for end in ends.iter().copied() {
            for at in cuts(&whole) {
                let cut = Cut {
                    form,
                    at,
                    end,
                    times: usize::MAX,
                    is_early: false,
                };
                rows.push(Row {
                    key: key(rows.len()),
                    cut,
                    manner,
                    is_second: rows.len() % 2 == 1,
                    is_pipelined: false,
                });
            }
        }
    }
    rows
}

/// What came of a table.
#[derive(Debug, Default)]
pub struct Result {
    pub violations: Vec<String>,
    /// Number of answers that were the first on their connections.
    pub first: usize,
    /// Number of answers behind another one on their connections.
    pub later: usize,
    /// Number of whole answers that callers got.
    pub served: usize,
    /// Number of answers that broke off at the caller.
    pub broken: usize,
    /// Number of failures that callers were told of.
    pub failed: usize,
}

impl Result {
    /// Checks that no rule is broken, and that what the table is about took place.
    pub fn assert_kept(&self, rows: usize) {
        let shown = &self.violations[..self.violations.len().min(SHOWN)];
        let count = self.violations.len();
        assert!(count == 0, "{count} of {rows} rows:\n{}", shown.join("\n"));
        assert!(self.failed + self.broken > 0, "{self:?}");
    }
}

/// Asks for each row, and judges what callers get.
pub async fn play(target: &Target, ledger: &Arc<Ledger>, rows: &[Row]) -> Result {
    for row in rows {
        ledger.cut(&row.key, row.cut);
    }
    let rows: Arc<[Row]> = rows.into();
    let next = Arc::new(AtomicUsize::new(0));
    let mut workers = JoinSet::new();
    for _ in 0..target.workers {
        let (target, ledger) = (target.clone(), Arc::clone(ledger));
        let (rows, next) = (Arc::clone(&rows), Arc::clone(&next));
        workers.spawn(async move {
            let mut result = Result::default();
            while let Some(row) = rows.get(next.fetch_add(1, Ordering::SeqCst)) {
                let asked = ask(&target, &ledger, row).await;
                note(&mut result, &target, &ledger, row, &asked);
            }
            result
        });
    }
    let mut result = Result::default();
    for part in workers.join_all().await {
        result.violations.extend(part.violations);
        result.first += part.first;
        result.later += part.later;
        result.served += part.served;
        result.broken += part.broken;
        result.failed += part.failed;
    }
    result
}

/// Sends a request until it arrives at a backend server: one that breaks off is left alone for a
/// while.
async fn ask(target: &Target, ledger: &Ledger, row: &Row) -> Asked {
    for number in 0..MAX_TRIES {
        if row.is_second || number > 0 {
            let key = format!("before-{}-{number}", row.key);
            ask_whole(target, ledger, &key, row.manner).await;
        }
        let asked = if row.is_pipelined {
            ask_pipelined(target, ledger, row, number).await
        } else {
            Asked {
                seen: ask_for(target, ledger, &row.key, row.manner).await,
                violation: None,
            }
        };
        if !ledger.arrived(&row.key).is_empty() {
            return asked;
        }
        tokio::time::sleep(PAUSE).await;
    }
    Asked::default()
}

/// What a caller got for a row.
#[derive(Debug, Default)]
struct Asked {
    seen: Seen,
    /// What is wrong with the answers beside that of the row.
    violation: Option<&'static str>,
}

/// Sends a request over a new connection, and reads its answer.
pub async fn ask_for(target: &Target, ledger: &Ledger, key: &str, manner: Manner) -> Seen {
    let mut caller = Caller::connect(target.address).await;
    let req = manner.request(key, &target.host, ledger.dialect().id);
    caller.send(&req).await;
    caller.read(manner.is_head()).await
}

async fn ask_whole(target: &Target, ledger: &Ledger, key: &str, manner: Manner) -> Seen {
    let manner = Manner {
        lines: "",
        body: 0,
        ..manner
    };
    ask_for(target, ledger, key, manner).await
}

/// Sends the request of a row between two others.
async fn ask_pipelined(target: &Target, ledger: &Ledger, row: &Row, number: usize) -> Asked {
    let id = ledger.dialect().id;
    let key = |place: &str| format!("{place}-{}-{number}", row.key);
    let (front, behind) = (key("front"), key("behind"));
    let requests = [&front, &row.key, &behind].map(|key| row.manner.request(key, &target.host, id));
    let mut caller = Caller::connect(target.address).await;
    caller.send(&requests.concat()).await;
    let is_head = row.manner.is_head();
    let first = caller.read(is_head).await;
    let seen = caller.read(is_head).await;
    let last = caller.read(is_head).await;
    let is_foreign = |seen: &Seen, key: &str| {
        let body = Form::LengthFirst.body(key);
        (200..300).contains(&seen.status) && seen.is_complete && seen.body != body.into_bytes()
    };
    let violation = if is_foreign(&first, &front) || is_foreign(&last, &behind) {
        Some("an answer of another request")
    } else if !seen.is_complete && last.status != 0 {
        Some("an answer behind one that is cut off")
    } else {
        None
    };
    Asked { seen, violation }
}

fn note(result: &mut Result, target: &Target, ledger: &Ledger, row: &Row, asked: &Asked) {
    let seen = &asked.seen;
    let arrived = ledger.arrived(&row.key);
    let first = arrived.iter().filter(|at| at.position == 1).count();
    result.first += first;
    result.later += arrived.len() - first;
    if !seen.is_complete {
        result.broken += 1;
    } else if seen.status < 400 {
        result.served += 1;
    } else {
        result.failed += 1;
    }
    let judged = judge(target, ledger, row, seen, arrived.len());
    let violation = judged.err().or(asked.violation);
    if let Some(violation) = violation {
        let text = seen.text();
        let Seen {
            status,
            is_complete,
            ..
        } = seen;
        let Row { key, cut, .. } = row;
        result.violations.push(format!(
            "{violation}: {key}, {cut:?}, arrived {} times; seen {status}, complete: \
             {is_complete}, {} bytes: {text:?}",
            arrived.len(),
            seen.body.len()
        ));
    }
}

/// Tells which rule an answer breaks.
fn judge(
    target: &Target,
    ledger: &Ledger,
    row: &Row,
    seen: &Seen,
    arrived: usize,
) -> std::result::Result<(), &'static str> {
    let cut = row.cut;
    let whole = whole(ledger, row);
    if arrived == 0 {
        return Err("never arrived");
    }
    if arrived > row.manner.max_attempts {
        return Err("arrived too often");
    }
    let is_at_end = cut.at >= whole.bytes.len();
    let is_refused = cut.form.is_refused(row.manner.is_head());
    let is_unmarked = cut.form.ends_with_connection() && !row.manner.is_head();
    let ends_well = is_unmarked && !is_refused && cut.at >= whole.head;
    let is_whole = is_at_end && !is_unmarked && !is_refused;
    let may_be_whole = is_whole || (ends_well && target.permits_close && !cut.end.is_reset());
    let was_repeated = arrived > cut.times;
    // A connection that is closed with bytes unread is reset.
    let is_owed = may_be_whole && !cut.end.is_reset() && !cut.is_early;
    // These statuses promise nothing; others would be wrong for what has run.
    let is_own_failure = seen.is_complete && matches!(seen.status, 502 | 504);
    if seen.is_endless {
        return Err("never ends");
    }
    if seen.status == 0 {
        let has_begun = cut.at >= whole.head;
        return if has_begun {
            Ok(())
        } else {
            Err("no answer at all")
        };
    }
    if is_own_failure {
        return if is_owed { Err("not served") } else { Ok(()) };
    }
    if !(200..400).contains(&seen.status) {
        return Err("another failure");
    }
    if !seen.is_complete {
        return if cut.at < whole.head && !was_repeated {
            Err("passed on without a head")
        } else if is_owed {
            Err("a whole answer looks cut off")
        } else {
            Ok(())
        };
    }
    if !may_be_whole && !was_repeated {
        return Err("looks complete");
    }
    let body = cut.form.body(&row.key).into_bytes();
    let sent = whole.bytes[whole.head..]
        .len()
        .min(cut.at.saturating_sub(whole.head));
    let is_expected = if row.manner.is_head() {
        seen.body.is_empty()
    } else if ends_well && !was_repeated {
        seen.body == body[..sent]
    } else {
        seen.body == body
    };
    if is_expected {
        Ok(())
    } else {
        Err("another body")
    }
}

fn whole(ledger: &Ledger, row: &Row) -> WholeAnswer {
    let lines = ledger.dialect().lines_for(&row.key);
    let Row { cut, manner, .. } = row;
    cut.form.answer(&row.key, &lines, manner.is_head())
}
