//! An entry VM's link in simulated time: answers of backend servers cross it in the order in which
//! they were sent, and connections deliver what their receive windows permit.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use heatherring_lib::answer_size::AnswerKind;
use heatherring_lib::id::RouteName;
use heatherring_lib::link_admission::AnswerTime;
use heatherring_lib::link_admission::ExpectedAnswer;
use heatherring_lib::link_admission::LinkAdmission;
use heatherring_lib::link_congestion::LinkCongestion;
use heatherring_lib::link_schedule::LinkSchedule;
use heatherring_lib::link_schedule::StreamKey;
use heatherring_lib::link_schedule::StreamOrder;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Rate of the link, in bytes per second.
pub const RATE: f64 = 1_037_500.0;

const TICK: Duration = Duration::from_millis(1);
const OBJECTIVE: Duration = Duration::from_millis(600);
const DEADLINE: Duration = Duration::from_secs(4);
/// Time that a backend server works on a request.
const WORK: Duration = Duration::from_millis(280);
/// Mean sizes of bodies, in bytes, and the largest as a multiple of the mean.
const SMALL_BYTES: f64 = 1_500.0;
const LARGE_BYTES: f64 = 90_000.0;
const TAIL: f64 = 6.0;
/// Bytes of heads and packets for each request.
const HEAD_BYTES: f64 = 1_000.0;
/// Share of the requests with large answers.
const LARGE_SHARE: f64 = 0.1;
/// Bytes that cross the link in one packet.
const PACKET: f64 = 1_448.0;

/// How answers share the link.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Way {
    /// Answers are read as they come, and requests are limited by connection times.
    Unscheduled,
    /// Large answers are read in this order, and requests are limited by bytes.
    Scheduled(StreamOrder),
}

/// Requests of one kind by their fate.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fates {
    pub asked: u32,
    pub in_time: u32,
    pub late: u32,
    pub refused: u32,
}

impl Fates {
    /// Returns the share of the requests that were answered in time.
    pub fn share_in_time(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.asked.max(1))
    }
}

/// Fates of the requests with small and with large answers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Totals {
    pub small: Fates,
    pub large: Fates,
    /// Most bytes that were queued for the link.
    pub longest_queue: f64,
}

struct Answer {
    kind: AnswerKind,
    begun: Instant,
    ready: Instant,
    bytes: f64,
    round_trip: Duration,
    expected: Option<ExpectedAnswer>,
    /// Bytes that the backend server has not sent.
    unsent: f64,
    /// Bytes that arrived and were not read.
    arrived: f64,
    read: f64,
    allowance: f64,
    stream: Option<StreamKey>,
    is_asking: bool,
}

struct Packet {
    answer: u64,
    bytes: f64,
}

/// One entry VM and its callers.
pub struct Model {
    way: Way,
    /// Share of the link that all requests together would use.
    load: f64,
    rng: ChaCha8Rng,
    start: Instant,
    now: Instant,
    next: u64,
    answers: BTreeMap<u64, Answer>,
    queue: VecDeque<Packet>,
    queued: f64,
    carried: f64,
    windows: Vec<(Instant, u64, f64)>,
    schedule: LinkSchedule,
    by_stream: BTreeMap<StreamKey, u64>,
    admission: LinkAdmission,
    congestion: LinkCongestion,
    totals: Totals,
}

impl Model {
    pub fn new(way: Way, load: f64, seed: u64) -> Self {
        let start = Instant::now();
        let order = match way {
            Way::Unscheduled => StreamOrder::default(),
            Way::Scheduled(order) => order,
        };
        let mut admission = LinkAdmission::new(RATE);
        admission.apply_bulk_routes(&BTreeSet::from([route(AnswerKind::Large)]));
        Self {
            way,
            load,
            rng: ChaCha8Rng::seed_from_u64(seed),
            start,
            now: start,
            next: 0,
            answers: BTreeMap::new(),
            queue: VecDeque::new(),
            queued: 0.0,
            carried: 0.0,
            windows: Vec::new(),
            schedule: LinkSchedule::new(RATE, order, start),
            by_stream: BTreeMap::new(),
            admission,
            congestion: LinkCongestion::default(),
            totals: Totals::default(),
        }
    }

    /// Plays `length`, and returns what became of the requests.
    pub fn run(mut self, length: Duration) -> Totals {
        while self.now < self.start + length {
            let before = self.now;
            self.now += TICK;
            self.arrive();
            self.send(before);
            self.carry();
            self.grant();
            self.read();
        }
        self.totals
    }

    fn fates(&mut self, kind: AnswerKind) -> &mut Fates {
        match kind {
            AnswerKind::Small => &mut self.totals.small,
            AnswerKind::Large => &mut self.totals.large,
        }
    }

    /// Callers come in waves of 36 s and in clumps of three.
    fn arrive(&mut self) {
        let mean = LARGE_SHARE * LARGE_BYTES + (1.0 - LARGE_SHARE) * SMALL_BYTES + HEAD_BYTES;
        let elapsed = (self.now - self.start).as_secs_f64();
        let wave = 1.0 + 0.55 * (elapsed * std::f64::consts::TAU / 36.0).sin();
        let clumps = self.load * wave * RATE / mean * TICK.as_secs_f64() / 3.0;
        if self.rng.random::<f64>() < clumps {
            for _ in 0..3 {
                self.ask();
            }
        }
    }

    fn ask(&mut self) {
        let is_large = self.rng.random::<f64>() < LARGE_SHARE;
        let (kind, mean) = if is_large {
            (AnswerKind::Large, LARGE_BYTES)
        } else {
            (AnswerKind::Small, SMALL_BYTES)
        };
        let bytes = self.log_normal(mean).min(mean * TAIL) + HEAD_BYTES;
        let is_near = self.rng.random::<f64>() < 0.6;
        let round_trip = Duration::from_millis(if is_near { 1 } else { 70 });
        self.fates(kind).asked += 1;
        let expected = match self.way {
            Way::Unscheduled => None,
            Way::Scheduled(_) => self.admission.expect(&route(kind)),
        };
        if !self.admit(expected.as_ref()) {
            self.fates(kind).refused += 1;
            return;
        }
        self.next += 1;
        self.answers.insert(
            self.next,
            Answer {
                kind,
                begun: self.now,
                ready: self.now + WORK + round_trip + self.queueing_delay(),
                bytes,
                round_trip,
                expected,
                unsent: bytes,
                arrived: 0.0,
                read: 0.0,
                allowance: 0.0,
                stream: None,
                is_asking: false,
            },
        );
    }

    /// Returns whether a request is admitted, and counts it as in flight.
    fn admit(&mut self, expected: Option<&ExpectedAnswer>) -> bool {
        let Some(expected) = expected else {
            let in_flight = self.answers.len();
            self.congestion.note(self.queueing_delay());
            return self.congestion.has_room(self.now, in_flight, 1.0);
        };
        self.admission.note_load(self.schedule.load(self.now));
        let time = AnswerTime {
            objective: OBJECTIVE.as_secs_f64(),
            deadline: DEADLINE.as_secs_f64(),
            wait_share: 1.0,
        };
        let has_room = self.admission.has_room(expected, time);
        if has_room {
            self.admission.begin(expected);
        }
        has_room
    }

    /// A log-normal size whose standard deviation is 0.6 of its mean.
    fn log_normal(&mut self, mean: f64) -> f64 {
        let variance = (1.0_f64 + 0.6 * 0.6).ln();
        let normal: f64 = (0..12).map(|_| self.rng.random::<f64>()).sum::<f64>() - 6.0;
        (mean.ln() - variance / 2.0 + variance.sqrt() * normal).exp()
    }

    fn queueing_delay(&self) -> Duration {
        Duration::from_secs_f64(self.queued.max(0.0) / RATE)
    }

    fn window(&self, answer: &Answer) -> f64 {
        match self.way {
            Way::Unscheduled => f64::INFINITY,
            Way::Scheduled(_) => self
                .admission
                .receive_buffer(answer.round_trip)
                .map_or(f64::INFINITY, f64::from),
        }
    }

    /// Backend servers send what their windows permit.
    fn send(&mut self, before: Instant) {
        let now = self.now;
        let ready: Vec<u64> = self
            .answers
            .iter()
            .filter(|(_, answer)| answer.ready > before && answer.ready <= now)
            .map(|(number, _)| *number)
            .collect();
        for number in ready {
            let answer = &self.answers[&number];
            let window = if answer.kind == AnswerKind::Large {
                self.window(answer)
            } else {
                f64::INFINITY
            };
            self.begin(number);
            self.transmit(number, window);
        }
        let opened = self.windows.extract_if(.., |(at, ..)| *at <= now);
        let opened: Vec<(Instant, u64, f64)> = opened.collect();
        for (_, number, bytes) in opened {
            self.transmit(number, bytes);
        }
    }

    fn begin(&mut self, number: u64) {
        let Some(answer) = self.answers.get_mut(&number) else {
            return;
        };
        let bytes = whole(answer.bytes);
        if let Some(expected) = answer.expected {
            self.admission.end(&expected, Some(bytes));
        }
        if matches!(self.way, Way::Scheduled(_)) && answer.kind == AnswerKind::Large {
            let key = self
                .schedule
                .begin(self.now, bytes, answer.begun + OBJECTIVE);
            answer.stream = Some(key);
            self.by_stream.insert(key, number);
        }
    }

    fn transmit(&mut self, number: u64, window: f64) {
        let Some(answer) = self.answers.get_mut(&number) else {
            return;
        };
        let mut bytes = answer.unsent.min(window);
        answer.unsent -= bytes;
        self.queued += bytes;
        while bytes > 0.0 {
            let packet = bytes.min(PACKET);
            bytes -= packet;
            self.queue.push_back(Packet {
                answer: number,
                bytes: packet,
            });
        }
        self.totals.longest_queue = self.totals.longest_queue.max(self.queued);
    }

    /// The link carries packets in the order in which they were sent.
    fn carry(&mut self) {
        if self.queue.is_empty() {
            self.carried = 0.0;
        }
        self.carried += RATE * TICK.as_secs_f64();
        while let Some(packet) = self.queue.front()
            && packet.bytes <= self.carried
        {
            self.carried -= packet.bytes;
            self.queued -= packet.bytes;
            if let Some(answer) = self.answers.get_mut(&packet.answer) {
                answer.arrived += packet.bytes;
            }
            self.queue.pop_front();
        }
    }

    fn grant(&mut self) {
        for answer in self.answers.values_mut() {
            if let Some(stream) = answer.stream
                && answer.allowance <= 0.0
                && !answer.is_asking
            {
                answer.is_asking = true;
                self.schedule.request(self.now, stream);
            }
        }
        while let Some((stream, bytes)) = self.schedule.grant(self.now) {
            if let Some(answer) = self.answers.get_mut(&self.by_stream[&stream]) {
                answer.allowance += f64::from(bytes);
                answer.is_asking = false;
            }
        }
    }

    /// The entry VM reads what arrived, which opens the windows, and passes it on.
    fn read(&mut self) {
        let mut done = Vec::new();
        for (number, answer) in &mut self.answers {
            let mut bytes = answer.arrived;
            if answer.stream.is_some() {
                bytes = bytes.min(answer.allowance);
                answer.allowance -= bytes;
            }
            if bytes > 0.0 {
                answer.arrived -= bytes;
                answer.read += bytes;
                let opened_at = self.now + answer.round_trip;
                self.windows.push((opened_at, *number, bytes));
            }
            if answer.read >= answer.bytes - 0.5 {
                done.push(*number);
            }
        }
        for number in done {
            self.finish(number);
        }
    }

    fn finish(&mut self, number: u64) {
        let Some(answer) = self.answers.remove(&number) else {
            return;
        };
        if let Some(stream) = answer.stream {
            self.schedule.end(stream, whole(answer.allowance.max(0.0)));
            self.by_stream.remove(&stream);
        } else if matches!(self.way, Way::Scheduled(_)) {
            self.schedule.note_small(self.now, whole(answer.bytes));
        }
        let took = self.now - answer.begun;
        let fates = self.fates(answer.kind);
        if took <= OBJECTIVE {
            fates.in_time += 1;
        } else {
            fates.late += 1;
        }
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a number of bytes"
)]
pub fn whole(bytes: f64) -> u64 {
    bytes as u64
}

fn route(kind: AnswerKind) -> RouteName {
    RouteName::new(kind.name())
}
