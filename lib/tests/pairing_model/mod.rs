//! Simulation of a pool of connections to backend servers that run or refuse each request and state
//! truthfully which, but send answers late, early, twice, without identifiers, without having read
//! a request, or never.
//!
//! The pool follows the rules of `backend_pool` in the server; one of them can be left out.

use std::collections::VecDeque;

use heatherring_lib::answer_claim::AnswerMeaning;
use heatherring_lib::answer_claim::Claim;
use heatherring_lib::answer_pairing::CarriedRequests;
use heatherring_lib::answer_pairing::EchoPolicy;
use heatherring_lib::answer_pairing::EchoedId;
use heatherring_lib::answer_pairing::IdHash;
use heatherring_lib::answer_pairing::SentRequest;
use heatherring_lib::outcome::Attempt;
use heatherring_lib::outcome::MayHaveRun;
use heatherring_lib::outcome::NotRunReason;
use heatherring_lib::outcome::Outcome;
use heatherring_lib::outcome::Paired;
use heatherring_lib::outcome::Refusal;
use heatherring_lib::outcome::UnknownReason;
use proptest::prelude::*;

/// The rule that the pool does not follow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Without {
    /// It follows all.
    Nothing,
    /// It believes a refusal before it compares the identifiers.
    Comparison,
    /// Only a refusal that names its request proves that it was not run.
    Proof,
    /// An answer that names no request may belong to the first request of a connection only.
    FirstOnly,
    /// A request is not sent on a connection that carried its identifier.
    OtherIds,
    /// A request without an identifier gets a new connection.
    NewWithoutId,
    /// A connection whose answer named no request is closed.
    Closing,
}

/// What a backend server does with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fate {
    /// It runs the request.
    Ran,
    /// It runs the request and answers with a failure.
    Failed,
    /// It runs nothing.
    Refused,
}

impl Fate {
    const fn meaning(self) -> AnswerMeaning {
        match self {
            Self::Ran | Self::Failed => AnswerMeaning::Answer,
            Self::Refused => AnswerMeaning::NotRun,
        }
    }

    const fn status(self) -> u16 {
        match self {
            Self::Ran => 200,
            Self::Failed | Self::Refused => 503,
        }
    }
}

/// How an answer names its request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Form {
    Named,
    NamedTwice,
    Unnamed,
    Empty,
    TwoNames,
    NotText,
}

impl Form {
    fn echoes(self, id: Option<&str>) -> Vec<Option<&str>> {
        match (self, id) {
            (Self::Unnamed, _) | (Self::Named | Self::NamedTwice, None) => vec![],
            (Self::Named, id) => vec![id],
            (Self::NamedTwice, id) => vec![id, id],
            (Self::Empty, _) => vec![Some("")],
            (Self::TwoNames, id) => vec![id.or(Some("x")), Some("y")],
            (Self::NotText, _) => vec![None],
        }
    }

    /// Whether the answer echoes what its request had.
    const fn is_faithful(self) -> bool {
        matches!(self, Self::Named | Self::NamedTwice)
    }
}

/// The identifier of a request.
#[derive(Clone, Copy, Debug)]
pub enum Id {
    /// One of a few, which callers use again.
    Known(usize),
    /// One that no other request has.
    Fresh,
    Absent,
}

/// One event; indices count modulo what there is.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// A request is sent to a backend server, which will do this with it.
    Send { server: usize, id: Id, fate: Fate },
    /// The pool reads the next answer to a request under way, after the server has sent the true
    /// one, or gives up if there is none.
    Read { which: usize, answer: Option<Form> },
    /// A server sends the answer to one of the latest requests of a connection, once more or early.
    Copy {
        which: usize,
        back: usize,
        form: Form,
    },
    /// A server sends the answer to one of the first requests of an idle connection once more.
    CopyOld { which: usize, position: usize },
    /// A server refuses the next request on an idle connection before it arrives.
    RefuseNext { which: usize },
    /// A server sends an answer to nobody as soon as the next connection to it is opened.
    SpeakFirst {
        server: usize,
        form: Form,
        fate: Fate,
    },
    /// A connection is taken and returned unused.
    Withdraw { server: usize },
    /// Requests with fresh identifiers are sent and answered in turn.
    Fill { server: usize, count: usize },
}

/// What must not happen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Breach {
    /// A request that ran counts as not run.
    NotRunButRan,
    /// A request ends with the answer to another.
    Foreign,
    /// A true answer that could be told apart is not accepted.
    TruthLost,
}

#[derive(Clone, Copy, Debug)]
enum Source {
    /// The request that so many others precede on the connection.
    Request(usize),
    /// No request; what the answer states.
    Nobody(Fate),
}

#[derive(Clone, Copy, Debug)]
struct Answer {
    source: Source,
    form: Form,
}

#[derive(Debug)]
struct Connection {
    server: usize,
    /// The sends that it carried.
    carried: Vec<usize>,
    /// Answers that the pool has not read yet.
    unread: VecDeque<Answer>,
    refuses_next: bool,
    /// Whether all answers on it were the true ones, in turn, and named no request.
    is_plain: bool,
    ids: CarriedRequests,
    awaits_answer: bool,
}

impl Connection {
    fn new(server: usize) -> Self {
        Self {
            server,
            carried: Vec::new(),
            unread: VecDeque::new(),
            refuses_next: false,
            is_plain: true,
            ids: CarriedRequests::default(),
            awaits_answer: false,
        }
    }

    fn pair(
        &mut self,
        rules: Rules,
        attempt: Attempt<MayHaveRun>,
        id: Option<&str>,
        echoed: EchoedId<'_>,
    ) -> Result<Paired, Attempt<MayHaveRun>> {
        let sent = SentRequest {
            id,
            is_first: self.carried.len() == 1 || rules.without == Without::FirstOnly,
            echo_policy: rules.echo_policy,
        };
        let paired = attempt.pair(sent, echoed)?;
        let is_named = matches!(paired, Paired::Named(_));
        self.awaits_answer = !is_named && rules.without != Without::Closing;
        Ok(paired)
    }

    fn copy(&mut self, back: usize, form: Form) {
        let Some(last) = self.carried.len().checked_sub(1) else {
            return;
        };
        let position = last - back % self.carried.len();
        self.push(Source::Request(position), form);
        self.is_plain = false;
    }

    fn push(&mut self, source: Source, form: Form) {
        self.unread.push_back(Answer { source, form });
    }

    fn copy_old(&mut self, position: usize) {
        let count = self.carried.len();
        if position < count {
            self.copy(count - 1 - position, Form::Named);
        }
    }

    fn refuse_next(&mut self) {
        if self.refuses_next {
            return;
        }
        self.refuses_next = true;
        self.is_plain = false;
        self.push(Source::Request(self.carried.len()), Form::Unnamed);
    }
}

#[derive(Debug)]
struct Pending {
    send: usize,
    attempt: Attempt<MayHaveRun>,
    connection: Connection,
}

#[derive(Debug)]
struct Sent {
    id: Option<String>,
    fate: Fate,
}

/// The rules that the pool follows.
#[derive(Clone, Copy, Debug)]
struct Rules {
    without: Without,
    echo_policy: EchoPolicy,
}

/// The pool and the backend servers.
#[derive(Debug)]
pub struct World {
    rules: Rules,
    /// What servers send on the next connection to them.
    spoken: Vec<(usize, Form, Fate)>,
    sends: Vec<Sent>,
    /// The most recently used one is the last.
    idle: Vec<Connection>,
    pending: Vec<Pending>,
    /// What went wrong first.
    pub breach: Option<Breach>,
    /// Number of connections that were opened.
    pub opened: usize,
}

/// Plays the steps and returns how they ended.
pub fn play(echo_policy: EchoPolicy, without: Without, steps: &[Step]) -> World {
    let mut world = World {
        rules: Rules {
            without,
            echo_policy,
        },
        spoken: Vec::new(),
        sends: Vec::new(),
        idle: Vec::new(),
        pending: Vec::new(),
        breach: None,
        opened: 0,
    };
    for step in steps {
        world.step(*step);
    }
    world
}

impl World {
    fn step(&mut self, step: Step) {
        match step {
            Step::Send { server, id, fate } => self.send(server, id, fate),
            Step::Read { which, answer } => self.read(which, answer),
            Step::Copy { which, back, form } => {
                self.with_open(which, |connection| connection.copy(back, form));
            }
            Step::CopyOld { which, position } => {
                self.with_idle(which, |connection| connection.copy_old(position));
            }
            Step::RefuseNext { which } => self.with_idle(which, Connection::refuse_next),
            Step::SpeakFirst { server, form, fate } => self.spoken.push((server, form, fate)),
            Step::Withdraw { server } => {
                let connection = self.connect(server, Some("unused"));
                self.give_back(connection);
            }
            Step::Fill { server, count } => {
                for _ in 0..count {
                    self.send(server, Id::Fresh, Fate::Ran);
                    let which = self.pending.len() - 1;
                    self.read(which, Some(Form::Named));
                }
            }
        }
    }

    fn with_open(&mut self, which: usize, act: impl FnOnce(&mut Connection)) {
        let pending = self.pending.iter_mut().map(|at| &mut at.connection);
        let mut open: Vec<&mut Connection> = pending.chain(&mut self.idle).collect();
        let count = open.len();
        if count > 0 {
            act(open[which % count]);
        }
    }

    fn with_idle(&mut self, which: usize, act: impl FnOnce(&mut Connection)) {
        let count = self.idle.len();
        if count > 0 {
            act(&mut self.idle[which % count]);
        }
    }

    fn permits(&self, connection: &Connection, id: Option<&str>) -> bool {
        match id {
            None => self.rules.without == Without::NewWithoutId,
            Some(id) => {
                self.rules.without == Without::OtherIds || !connection.ids.contains(IdHash::of(id))
            }
        }
    }

    fn connect(&mut self, server: usize, id: Option<&str>) -> Connection {
        let position = self
            .idle
            .iter()
            .rposition(|idle| idle.server == server && self.permits(idle, id));
        if let Some(position) = position {
            return self.idle.remove(position);
        }
        self.opened += 1;
        let mut connection = Connection::new(server);
        let is_tellable = self.rules.echo_policy == EchoPolicy::Always && id.is_some();
        for (_, form, fate) in self.spoken.extract_if(.., |(to, ..)| *to == server) {
            // Where nothing tells an answer from one to nobody, only a refusal must do no harm.
            if is_tellable || fate == Fate::Refused {
                connection.push(Source::Nobody(fate), form);
                connection.is_plain = false;
            }
        }
        connection
    }

    fn give_back(&mut self, connection: Connection) {
        if !connection.awaits_answer && !connection.ids.is_full() {
            self.idle.push(connection);
        }
    }

    fn send(&mut self, server: usize, id: Id, fate: Fate) {
        let send = self.sends.len();
        let id = match id {
            Id::Known(number) => Some(format!("known-{number}")),
            Id::Fresh => Some(format!("fresh-{send}")),
            Id::Absent => None,
        };
        let mut connection = self.connect(server, id.as_deref());
        let attempt = Attempt::new().sending();
        if let Some(id) = &id {
            connection.ids.note(IdHash::of(id));
        }
        connection.awaits_answer = true;
        connection.carried.push(send);
        let refuses = std::mem::take(&mut connection.refuses_next);
        let fate = if refuses { Fate::Refused } else { fate };
        self.sends.push(Sent { id, fate });
        self.pending.push(Pending {
            send,
            attempt,
            connection,
        });
    }

    fn read(&mut self, which: usize, truth: Option<Form>) {
        if self.pending.is_empty() {
            return;
        }
        let which = which % self.pending.len();
        let mut at = self.pending.swap_remove(which);
        if let Some(form) = truth {
            let position = at.connection.carried.len() - 1;
            at.connection.push(Source::Request(position), form);
            at.connection.is_plain &= form == Form::Unnamed;
        }
        match at.connection.unread.pop_front() {
            Some(answer) => self.receive(at, answer),
            None => drop(at.attempt.lost(UnknownReason::DeadlinePassed)),
        }
    }

    fn receive(&mut self, at: Pending, answer: Answer) {
        let Pending {
            send,
            attempt,
            mut connection,
        } = at;
        let (source, fate) = match answer.source {
            Source::Request(position) => {
                let source = connection.carried[position];
                (Some(source), self.sends[source].fate)
            }
            Source::Nobody(fate) => (None, fate),
        };
        let values = answer
            .form
            .echoes(source.and_then(|source| self.sends[source].id.as_deref()));
        let echoed = EchoedId::read(values);
        let id = self.sends[send].id.as_deref();
        let is_refusal = fate == Fate::Refused;
        let paired = if is_refusal && self.rules.without == Without::Comparison {
            connection.awaits_answer = false;
            Ok(Paired::Named(attempt.answered_on_stream()))
        } else {
            connection.pair(self.rules, attempt, id, echoed)
        };
        let outcome = match paired {
            Ok(paired) => end(self.rules, paired, fate, source),
            Err(waiting) => waiting.lost(UnknownReason::AnswerMismatched).into(),
        };
        let is_named = id.is_some() && answer.form.is_faithful();
        let is_known_by_position = !is_refusal
            && (id.is_none() || self.rules.echo_policy == EchoPolicy::Optional)
            && (answer.form.is_faithful() || connection.is_plain);
        self.judge(send, source, is_named || is_known_by_position, &outcome);
        if !matches!(outcome, Outcome::Unknown(_)) {
            self.give_back(connection);
        }
    }

    /// Compares the outcome of `send` with what happened; the answer that was read belongs to
    /// `source`.
    fn judge(
        &mut self,
        send: usize,
        source: Option<usize>,
        is_clear: bool,
        outcome: &Outcome<Option<usize>>,
    ) {
        let has_run = self.sends[send].fate != Fate::Refused;
        let is_own = source == Some(send);
        let breach = match outcome {
            Outcome::NotRun(_) if has_run => Some(Breach::NotRunButRan),
            Outcome::NotRun(_) | Outcome::Answer(_) if !is_own => Some(Breach::Foreign),
            Outcome::Unknown(_) if is_own && is_clear => Some(Breach::TruthLost),
            _ => None,
        };
        self.breach = self.breach.or(breach);
    }
}

/// Ends a request with the answer that was paired with it.
fn end(rules: Rules, paired: Paired, fate: Fate, source: Option<usize>) -> Outcome<Option<usize>> {
    let refusal = Refusal::reported_by_backend_server(NotRunReason::BackendRefused);
    match Claim::new(paired, fate.meaning(), fate.status()) {
        Claim::Answer(attempt) => attempt.answered(source),
        Claim::Refused(attempt, _) => attempt.refused(refusal).into(),
        Claim::Unproved(_) if rules.without == Without::Proof => {
            let believed = Attempt::new().sending().answered_on_stream();
            believed.refused(refusal).into()
        }
        Claim::Unproved(attempt) | Claim::Foreign(attempt) => {
            attempt.lost(UnknownReason::RefusalUnproved).into()
        }
    }
}

fn form() -> impl Strategy<Value = Form> {
    prop_oneof![
        6 => Just(Form::Named),
        3 => Just(Form::Unnamed),
        1 => Just(Form::NamedTwice),
        1 => Just(Form::Empty),
        1 => Just(Form::TwoNames),
        1 => Just(Form::NotText),
    ]
}

fn id() -> impl Strategy<Value = Id> {
    prop_oneof![
        6 => (0..3_usize).prop_map(Id::Known),
        2 => Just(Id::Fresh),
        1 => Just(Id::Absent),
    ]
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        4 => Just(Fate::Ran),
        1 => Just(Fate::Failed),
        4 => Just(Fate::Refused),
    ]
}

/// Draws an event.
pub fn step() -> impl Strategy<Value = Step> {
    let answer = prop_oneof![1 => Just(None), 9 => form().prop_map(Some)];
    prop_oneof![
        8 => (0..2_usize, id(), fate()).prop_map(|(server, id, fate)| Step::Send { server, id, fate }),
        8 => (0..8_usize, answer).prop_map(|(which, answer)| Step::Read { which, answer }),
        4 => (0..8_usize, 0..4_usize, form()).prop_map(|(which, back, form)| Step::Copy { which, back, form }),
        1 => (0..8_usize).prop_map(|which| Step::RefuseNext { which }),
        1 => (0..2_usize).prop_map(|server| Step::Withdraw { server }),
        1 => (0..2_usize, form(), fate()).prop_map(|(server, form, fate)| Step::SpeakFirst { server, form, fate }),
    ]
}

/// Draws an event; most leave the connections in use, and some take one many requests further.
pub fn long_step() -> impl Strategy<Value = Step> {
    let server = 0;
    let answer = Some(Form::Named);
    prop_oneof![
        3 => step(),
        3 => ((0..3_usize).prop_map(Id::Known), fate()).prop_map(move |(id, fate)| Step::Send { server, id, fate }),
        6 => (0..8_usize).prop_map(move |which| Step::Read { which, answer }),
        2 => (0..8_usize, 0..3_usize).prop_map(|(which, position)| Step::CopyOld { which, position }),
        2 => (48..160_usize).prop_map(move |count| Step::Fill { server, count }),
    ]
}
