//! Answers of scripted backend servers, and scripts that repeat them.

use crate::direct_support::scripted_backend::Act;
use crate::direct_support::scripted_backend::Arrived;
use crate::direct_support::scripted_backend::answer;
use crate::direct_support::scripted_backend::last_answer;

pub const NOT_RUN: &str = "heatherring-outcome: not_run";

/// The header that names a request, with no name.
pub const EMPTY_ID: &str = "heatherring-request-id:";

/// The statement of a backend server that it leaves.
pub const LEAVING: &str = "heatherring-leaving: 1";

pub const CONTINUE: &str = "HTTP/1.1 100 Continue\r\n\r\n";

pub fn healthy(arrived: &Arrived) -> String {
    let backend = format!("heatherring-backend: {}", arrived.backend);
    let headers = [backend.as_str(), "heatherring-cold-ms: 0"];
    answer(200, &headers, "health of the server")
}

pub fn unhealthy(_: &Arrived) -> String {
    answer(503, &[], "health of the server")
}

/// A health check that is refused as requests are.
pub fn health_refused(_: &Arrived) -> String {
    answer(503, &[NOT_RUN], "health of the server")
}

/// The header that names the request; empty if it has no identifier.
pub fn id_line(arrived: &Arrived) -> String {
    if arrived.id.is_empty() {
        return String::new();
    }
    format!("heatherring-request-id: {}", arrived.id)
}

/// The answer to a request that was run.
pub fn served(arrived: &Arrived) -> String {
    let body = format!("of {}", arrived.key);
    answer(200, &[&id_line(arrived)], &body)
}

/// Runs a request and answers it on a connection that carries no other one.
pub fn run_last(arrived: &Arrived) -> Vec<Act> {
    let body = format!("of {}", arrived.key);
    run_after(None, last_answer(200, &[&id_line(arrived)], &body))
}

/// Runs the requests that make the backend servers known, and refuses all others without running
/// them, at all backend servers or at the first one. Each connection carries one request, and no
/// answer names its own.
pub fn refusing(
    status: u16,
    headers: &'static [&'static str],
    at_all: bool,
) -> impl Fn(&Arrived) -> Vec<Act> + Clone {
    move |arrived| {
        let refuses = at_all || arrived.backend == "first";
        if arrived.key.starts_with("act") && refuses {
            let refusal = last_answer(status, headers, "refusal");
            return vec![Act::Read, Act::Write(refusal)];
        }
        let body = format!("of {}", arrived.key);
        run_after(None, last_answer(200, &[], &body))
    }
}

/// A refusal by a backend server that did not run the request.
pub fn not_run(arrived: &Arrived) -> String {
    let body = format!("refusal of {}", arrived.key);
    answer(503, &[&id_line(arrived), NOT_RUN], &body)
}

/// A refusal by another backend server at the address.
pub fn misdirected(arrived: &Arrived) -> String {
    let body = format!("refusal of {}", arrived.key);
    answer(421, &[&id_line(arrived)], &body)
}

/// An answer that states nothing about whether the request was run.
pub fn failed(arrived: &Arrived) -> String {
    let body = format!("failure of {}", arrived.key);
    answer(503, &[&id_line(arrived)], &body)
}

pub fn is_even(arrived: &Arrived) -> bool {
    let number = arrived.key.rsplit('-').next();
    number.is_some_and(|number| number.parse::<usize>().unwrap() % 2 == 0)
}

/// Runs a request and answers it, after a stray answer in a segment of its own if there is one.
pub fn run_after(stray: Option<String>, own: String) -> Vec<Act> {
    let strays = stray.map(|stray| [Act::Stray(stray), Act::Pause]);
    let strays = strays.into_iter().flatten();
    let acts = [Act::Run].into_iter().chain(strays);
    acts.chain([Act::Write(own)]).collect()
}

/// Returns the latest earlier action on the connection.
pub fn action_before(arrived: &Arrived) -> Option<&Arrived> {
    arrived.earlier(|earlier| earlier.key.starts_with("act"))
}

/// An answer to a request that was run, which names none.
pub fn nameless(arrived: &Arrived) -> String {
    answer(200, &[], &format!("of {}", arrived.key))
}

/// When a backend server sends a refusal once more.
#[derive(Clone, Copy, Debug)]
pub enum Copied {
    /// At the next request, with the answer to that in another segment.
    Apart,
    /// At the next request, with the answer to that in the same segment.
    Ahead,
    /// At the next request, whose answer never follows.
    Instead,
    /// A moment after the refusal.
    Soon,
    /// In the same segment as the refusal.
    Joined,
    /// At the next request, where the refusal itself came before the body was read.
    Early,
    /// At the next request, after an interim answer to that.
    AfterInterim,
}

/// Refuses every other action, once more as `copied` tells, and runs the rest.
pub fn repeating(
    refusal: fn(&Arrived) -> String,
    copied: Copied,
) -> impl Fn(&Arrived) -> Vec<Act> + Clone {
    move |arrived| {
        if is_even(arrived) {
            return refused(refusal(arrived), copied);
        }
        let own = served(arrived);
        let before = action_before(arrived).filter(|before| is_even(before));
        match before.map(refusal) {
            Some(late) => run_late(late, own, copied),
            None => run_after(None, own),
        }
    }
}

fn refused(text: String, copied: Copied) -> Vec<Act> {
    match copied {
        Copied::Soon => {
            let copy = Act::Stray(text.clone());
            vec![Act::Read, Act::Write(text), Act::Pause, copy]
        }
        Copied::Joined => vec![Act::Read, Act::Stray(text.repeat(2))],
        Copied::Early => vec![Act::Write(text)],
        _ => vec![Act::Read, Act::Write(text)],
    }
}

fn run_late(late: String, own: String, copied: Copied) -> Vec<Act> {
    match copied {
        Copied::Apart | Copied::Early => run_after(Some(late), own),
        Copied::AfterInterim => {
            let interim = Act::Write(CONTINUE.to_owned());
            vec![Act::Run, interim, Act::Stray(late), Act::Write(own)]
        }
        Copied::Ahead => vec![Act::Run, Act::Stray(late + &own)],
        Copied::Instead => vec![Act::Run, Act::Stray(late)],
        Copied::Soon | Copied::Joined => run_after(None, own),
    }
}

/// Refuses at the first backend server before the body is read, and serves at the second.
pub fn early(after: &'static [Act]) -> impl Fn(&Arrived) -> Vec<Act> + Clone {
    move |arrived| {
        if arrived.backend == "second" {
            return run_after(None, served(arrived));
        }
        let refusal = vec![Act::Write(not_run(arrived))];
        [refusal, after.to_vec()].concat()
    }
}
