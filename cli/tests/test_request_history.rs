//! Requests and actions under failure, over real processes: the answers that callers received
//! are joined with the backend servers' ledgers and checked.
//!
//! `HEATHERRING_CASES=20 cargo test -p heatherring --test test_request_history random`
//! runs that many randomly drawn sequences of faults; seeds are printed.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::path::Path;
use std::time::Duration;

use heatherring_testutils::answer_fault::EarlyAnswer;
use heatherring_testutils::answer_fault::EarlyAnswerKind;
use heatherring_testutils::answer_fault::EndlessAnswers;
use heatherring_testutils::answer_fault::EndlessPart;
use heatherring_testutils::behaviour::Behaviour;
use heatherring_testutils::behaviour::LoadReport;
use heatherring_testutils::caller::PATIENCE_RAN_OUT;
use heatherring_testutils::caller::Told;
use heatherring_testutils::deployment::Deployment;
use heatherring_testutils::deployment::book;
use heatherring_testutils::deployment::search;
use heatherring_testutils::deployment_plan::DeploymentPlan;
use heatherring_testutils::ledger::LedgerEventKind;
use heatherring_testutils::machine_clock::now_us;
use heatherring_testutils::request_history::ArrivalCap;
use heatherring_testutils::request_history::DrainMark;
use heatherring_testutils::request_history::RequestHistory;
use heatherring_testutils::steady_load::SteadyLoad;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use tokio::sync::Semaphore;
use tokio::sync::SemaphorePermit;

const ENTRIES: usize = 6;
const CALLERS_PER_PLACE: usize = 5;
const PAUSE: Duration = Duration::from_millis(20);
/// Time after which a leaving backend server receives no new work, in microseconds.
const DRAIN_BOUND_US: u64 = 4_000_000;
/// Time-out of a caller's attempt. Longer than any deadline and shorter than a freeze: callers
/// resend while their entry VM is frozen, and it reads their first attempts when it resumes.
const CALLER_TIMEOUT: Duration = Duration::from_millis(3_500);
/// Duration of a fault; longer than a session's lease with its margin.
const FAULT_DURATION: Duration = Duration::from_secs(5);
/// Wait after the load; longer than the longest deadline, so what still runs then is stuck.
const SETTLE_TIME: Duration = Duration::from_secs(4);
/// Requests to wait for between two events.
const REQUESTS_BETWEEN_EVENTS: usize = 40;
/// Number of faults in a drawn case.
const FAULTS_PER_CASE: usize = 3;
/// Requests to wait for while nothing but faults of answers goes wrong; they outlast several spells.
const REQUESTS_WITH_ANSWER_FAULTS: usize = 2_000;
/// Most time to wait for them; what was done until then is checked.
const LONGEST_LOAD: Duration = Duration::from_secs(30);
/// Time-out of a caller's attempt that no attempt may reach: several deadlines.
const LONG_PATIENCE: Duration = Duration::from_secs(10);

/// A fault or planned change injected under load.
#[derive(Clone, Debug)]
enum Fault {
    /// Kills a process and restarts it.
    Kill(&'static str),
    /// Freezes a process for longer than a lease, then resumes it.
    Freeze(&'static str),
    /// Cuts the link between two processes, in both directions, for longer than a lease.
    Cut(&'static str, &'static str),
    /// Cuts the link from the first process to the second one for longer than a lease.
    CutOneWay(&'static str, &'static str),
    /// Cuts all links to and from a process for longer than a lease.
    Isolate(&'static str),
    /// Kills several processes, such as all of a failure domain, for good.
    Lose(&'static [&'static str]),
    /// Drains a backend server by a manifest.
    Drain(&'static str),
    /// Requests a planned stop of a process.
    Stop(&'static str),
}

const HAKATA: &[&str] = &["entry-1", "entry-5", "control-1", "hakata-registry"];
const KUMAMOTO: &[&str] = &[
    "entry-3",
    "entry-4",
    "control-3",
    "kikuyo-registry",
    "kikuyo-certdesk",
];

/// Faults that drawn cases choose from: those that leave the deployment able to continue.
const DRAWABLE_FAULTS: &[Fault] = &[
    Fault::Kill("entry-1"),
    Fault::Kill("entry-4"),
    Fault::Kill("control-1"),
    Fault::Kill("control-2"),
    Fault::Freeze("entry-2"),
    Fault::Freeze("entry-3"),
    Fault::Freeze("control-1"),
    Fault::Cut("entry-1", "entry-2"),
    Fault::Cut("entry-3", "entry-4"),
    Fault::Cut("entry-5", "control-1"),
    Fault::CutOneWay("entry-1", "entry-2"),
    Fault::CutOneWay("entry-2", "entry-1"),
    Fault::CutOneWay("entry-6", "control-1"),
    Fault::Isolate("entry-2"),
    Fault::Isolate("entry-4"),
    Fault::Isolate("control-1"),
    Fault::Drain("registry-fko-kokura-1"),
];

/// Limits the deployments that run at the same time. More of them load a small machine so much
/// that leases expire without any fault.
static RUNNING: Semaphore = Semaphore::const_new(3);

fn plan(seed: u64) -> DeploymentPlan {
    let mut plan = DeploymentPlan::small(ENTRIES, seed);
    plan.cluster.relayed = true;
    plan.patience = CALLER_TIMEOUT;
    plan
}

/// Returns a plan in which some backend servers, for part of the time, repeat answers late.
fn plan_with_late_repeats(seed: u64) -> DeploymentPlan {
    let mut plan = plan(seed);
    plan.draw_late_repeats();
    plan
}

/// Returns a plan in which some backend servers, for part of the time, answer late again, unasked
/// or without end.
fn plan_with_answer_faults(seed: u64) -> DeploymentPlan {
    let mut plan = plan(seed);
    plan.draw_answer_faults();
    plan
}

/// Returns a plan in which some backend servers refuse a share of requests, and begin a share of
/// their connections with a refusal that names none.
fn plan_with_unnamed_refusals(seed: u64) -> DeploymentPlan {
    let speaking_first = |kind| Behaviour {
        shed_percent: 20,
        early_answer: Some(EarlyAnswer {
            percent: 50,
            delay_ms: 1,
            kind,
        }),
        ..Behaviour::default()
    };
    let mut plan = plan(seed);
    plan.set_lasting(&[
        speaking_first(EarlyAnswerKind::UnnamedRefusal),
        speaking_first(EarlyAnswerKind::EmptyNameRefusal),
    ]);
    plan
}

/// Returns a plan in which some backend servers don't end a share of their answers, each beginning
/// with one of `parts`.
fn plan_with_endless_answers(seed: u64, parts: &[EndlessPart], in_turn: bool) -> DeploymentPlan {
    let mut plan = plan(seed);
    let endless = |part: &EndlessPart| Behaviour {
        endless_answers: Some(EndlessAnswers {
            percent: 10,
            part: *part,
            in_turn,
        }),
        ..Behaviour::default()
    };
    plan.set_lasting(&parts.iter().map(endless).collect::<Vec<_>>());
    plan.patience = LONG_PATIENCE;
    plan
}

struct Run {
    deployment: Deployment,
    load: SteadyLoad,
    history: RequestHistory,
    manifest_version: u64,
    _running: SemaphorePermit<'static>,
}

impl Run {
    async fn start(seed: u64) -> Self {
        Self::start_with(plan(seed)).await
    }

    async fn start_with(plan: DeploymentPlan) -> Self {
        let running = RUNNING.acquire().await.unwrap();
        let seed = plan.seed;
        println!("seed {seed}, spells {:?}", plan.spells);
        let binary = Path::new(env!("CARGO_BIN_EXE_heatherring"));
        let deployment = Deployment::start(plan, binary).await.unwrap();
        let specs = [
            search("registry"),
            book("registry"),
            search("certdesk"),
            book("certdesk"),
        ];
        let callers = deployment.callers(CALLERS_PER_PLACE);
        let mut run = Self {
            load: SteadyLoad::start(callers, &specs, PAUSE, seed),
            deployment,
            history: RequestHistory {
                drain_bound_us: DRAIN_BOUND_US,
                ..RequestHistory::default()
            },
            manifest_version: 1,
            _running: running,
        };
        run.load.wait_for_more(REQUESTS_BETWEEN_EVENTS).await;
        run
    }

    async fn inject(&mut self, fault: &Fault) {
        println!("{} {fault:?}", now_us());
        let cluster = &mut self.deployment.cluster;
        match fault {
            Fault::Kill(name) => {
                cluster.process(name).kill().unwrap();
                self.load.wait_for_more(REQUESTS_BETWEEN_EVENTS).await;
                self.deployment.cluster.start_vm(name).unwrap();
            }
            Fault::Freeze(name) => {
                cluster.process(name).freeze().unwrap();
                tokio::time::sleep(FAULT_DURATION).await;
                cluster.process(name).thaw().unwrap();
            }
            Fault::Cut(one, other) => {
                cluster.network.cut(one, other);
                self.wait_and_restore_network().await;
            }
            Fault::CutOneWay(from, to) => {
                cluster.network.cut_one_way(from, to);
                self.wait_and_restore_network().await;
            }
            Fault::Isolate(name) => {
                cluster.network.isolate(name);
                self.wait_and_restore_network().await;
            }
            Fault::Lose(names) => {
                for name in *names {
                    cluster.process(name).kill().unwrap();
                }
            }
            Fault::Drain(backend) => self.drain(backend),
            Fault::Stop(name) => {
                let status = cluster.stop(name).await.unwrap();
                assert!(status.success(), "{name}: {status}");
            }
        }
        self.load.wait_for_more(REQUESTS_BETWEEN_EVENTS).await;
    }

    async fn wait_and_restore_network(&mut self) {
        tokio::time::sleep(FAULT_DURATION).await;
        self.deployment.cluster.network.mend();
    }

    fn drain(&mut self, backend: &str) {
        self.manifest_version += 1;
        let cluster = &self.deployment.cluster;
        let services = self.deployment.plan.services();
        let mut manifest = cluster.manifest(self.manifest_version, &services);
        manifest["drains"] = json!([{"backend_server": backend}]);
        // The command returns once the manifest is in force on all entry VMs.
        cluster.submit(&manifest).unwrap();
        self.history.drains.push(DrainMark {
            backends: BTreeSet::from([backend.to_owned()]),
            from_us: now_us(),
            until_us: None,
        });
    }

    async fn wait_for_answer_faults(&mut self) {
        let enough = self.load.wait_for_more(REQUESTS_WITH_ANSWER_FAULTS);
        let in_time = tokio::time::timeout(LONGEST_LOAD, enough).await;
        if in_time.is_err() {
            println!("fewer requests than {REQUESTS_WITH_ANSWER_FAULTS}");
        }
    }

    /// Ends the load, waits for the last deadline, checks the history and returns it.
    async fn check(mut self) -> RequestHistory {
        self.history.calls = self.load.finish().await;
        tokio::time::sleep(SETTLE_TIME).await;
        self.history.events = self.deployment.cluster.ledgers().unwrap();
        let violations = self.history.check();
        assert!(violations.is_empty(), "{violations:#?}");
        let calls = &self.history.calls;
        let answered = calls.iter().filter(|call| {
            let outcome = call.outcome();
            outcome.is_some_and(Told::is_answer)
        });
        println!("{} of {} calls answered", answered.count(), calls.len());
        self.history
    }
}

/// Asserts that answers without end cost their own requests alone: they end, and of all other
/// requests no more than one in twenty has no answer. Returns which parts had no end.
fn assert_others_are_answered(history: &RequestHistory) -> BTreeSet<EndlessPart> {
    let endless: BTreeMap<_, _> = history
        .events
        .iter()
        .filter_map(|event| match &event.kind {
            LedgerEventKind::Endless { nonce, part } => Some((nonce.as_str(), *part)),
            _ => None,
        })
        .collect();
    let (own, others): (Vec<_>, Vec<_>) = history.calls.iter().partition(|call| {
        let mut attempts = call.attempts.iter();
        attempts.any(|attempt| endless.contains_key(attempt.nonce.as_str()))
    });
    let unanswered: Vec<_> = others
        .iter()
        .filter(|call| !call.outcome().is_some_and(Told::is_answer))
        .collect();
    let attempts = history.calls.iter().flat_map(|call| &call.attempts);
    let lasting: Vec<_> = attempts
        .filter(
            |attempt| matches!(&attempt.told, Told::Lost { fault } if fault == PATIENCE_RAN_OUT),
        )
        .map(|attempt| (endless.get(attempt.nonce.as_str()), attempt))
        .collect();
    println!(
        "{} answers without end, {} requests with one, {} others, {} of them not answered, \
         {} attempts lasted",
        endless.len(),
        own.len(),
        others.len(),
        unanswered.len(),
        lasting.len()
    );
    assert!(unanswered.len() * 20 <= others.len(), "{unanswered:#?}");
    assert!(lasting.is_empty(), "{lasting:#?}");
    endless.into_values().collect()
}

async fn run_case(plan: DeploymentPlan, faults: &[Fault]) {
    let mut run = Run::start_with(plan).await;
    for fault in faults {
        run.inject(fault).await;
    }
    run.check().await;
}

macro_rules! fault_cases {
    ($($(#[$comment:meta])* $name:ident: $seed:expr, $faults:expr;)*) => {
        $(
            $(#[$comment])*
            #[tokio::test(flavor = "multi_thread")]
            async fn $name() {
                run_case(plan($seed), &$faults).await;
            }
        )*
    };
}

// Each case guards against an action with two ledger lines, "not run" for an action with a ledger
// line, a backend server above its slots, or an answer to another caller's request. The comments
// say how the failure would come about.
fault_cases! {
    // The primary of tickets is killed with actions recorded and in flight; a resend through the
    // backup runs them again, or the primary's new incarnation treats them as new.
    test_request_history_killed_entries: 11, [Fault::Kill("entry-1"), Fault::Kill("entry-4")];
    // An owner and primary resumes after its lease has expired and another entry VM has taken
    // over, and still dispatches its pending requests.
    test_request_history_frozen_entries: 12, [Fault::Freeze("entry-2"), Fault::Freeze("entry-3")];
    // Primary and backup can't reach each other, and each decides on its own.
    test_request_history_cut_entries: 13, [
        Fault::Cut("entry-1", "entry-2"),
        Fault::CutOneWay("entry-4", "entry-3"),
    ];
    // An unreachable entry VM continues to act as an owner.
    test_request_history_isolated: 14, [Fault::Isolate("entry-3"), Fault::Isolate("control-1")];
    // The remaining processes of the region decide without the state of the lost ones.
    test_request_history_lost_place: 15, [Fault::Lose(HAKATA)];
    // The other region takes over at once actions that the lost one may still run.
    test_request_history_lost_region: 16, [Fault::Lose(KUMAMOTO)];
    // New work is still dispatched to a drained or leaving backend server.
    test_request_history_drains: 17, [
        Fault::Drain("registry-fko-kokura-1"),
        Fault::Stop("hakata-registry"),
        Fault::Kill("entry-2"),
    ];
}

// Guards against more arrivals per second from Fukuoka in Kumamoto than the cap allows. Fukuoka's
// own backend servers of the service are killed, so that all its callers' work would go to Kumamoto.
// The failure occurs if each entry VM uses the whole cap, or if the cap isn't redistributed when an
// entry VM is killed.
#[tokio::test(flavor = "multi_thread")]
async fn test_request_history_cap_after_loss() {
    const PER_SECOND: usize = 100;
    const PERCENT: usize = 20;
    let mut run = Run::start(18).await;
    run.manifest_version += 1;
    let cluster = &run.deployment.cluster;
    let mut services = run.deployment.plan.services();
    services["registry"]["limits"]["kmm-kikuyo"]["max_per_second"] = json!(PER_SECOND);
    let mut manifest = cluster.manifest(run.manifest_version, &services);
    manifest["shift_caps"] = json!([{
        "from": {"region": "fukuoka"},
        "to": {"region": "kumamoto"},
        "percent": PERCENT,
    }]);
    cluster.submit(&manifest).unwrap();
    let capped_from_us = now_us();
    run.inject(&Fault::Lose(&["hakata-registry", "kokura-registry"]))
        .await;
    run.inject(&Fault::Kill("entry-5")).await;
    tokio::time::sleep(FAULT_DURATION).await;
    run.load.wait_for_more(REQUESTS_BETWEEN_EVENTS).await;
    let cap = ArrivalCap {
        service: "registry".to_owned(),
        origins: ["fko-hakata", "fko-kokura"].map(ToOwned::to_owned).into(),
        places: ["kmm-kikuyo"].map(ToOwned::to_owned).into(),
        max: PER_SECOND * PERCENT / 100,
        from_us: capped_from_us,
    };
    run.history.caps.push(cap);
    run.check().await;
}

// Guards against a backend server above its slots: all backend servers always report that nothing
// is in flight, and the entry VM that owns some of them is replaced. The failure occurs if a report
// below the owner's own count is trusted.
#[tokio::test(flavor = "multi_thread")]
async fn test_request_history_lying_reports() {
    let mut plan = plan(19);
    plan.behaviour.load_report = LoadReport::Lying { in_flight: 0 };
    let mut run = Run::start_with(plan).await;
    run.inject(&Fault::Kill("entry-3")).await;
    run.inject(&Fault::Freeze("entry-1")).await;
    run.check().await;
}

// Guards against a late repeat of an answer that is taken for the answer to the next request.
#[tokio::test(flavor = "multi_thread")]
async fn test_request_history_late_repeats() {
    let mut run = Run::start_with(plan_with_late_repeats(20)).await;
    run.load.wait_for_more(REQUESTS_WITH_ANSWER_FAULTS).await;
    run.check().await;
}

/// Guards against a refusal that names no request and is taken for the answer to one that runs.
#[tokio::test(flavor = "multi_thread")]
async fn test_request_history_unnamed_refusals() {
    let mut run = Run::start_with(plan_with_unnamed_refusals(21)).await;
    run.wait_for_answer_faults().await;
    let history = run.check().await;
    let mut events = history.events.iter();
    assert!(events.any(|event| event.kind == LedgerEventKind::SpokeFirst));
}

/// Guards against answers without end that cost other requests their answers.
#[tokio::test(flavor = "multi_thread")]
async fn test_request_history_endless_answers() {
    let parts: Vec<_> = EndlessPart::ALL.into_iter().step_by(2).collect();
    let mut run = Run::start_with(plan_with_endless_answers(22, &parts, true)).await;
    run.wait_for_answer_faults().await;
    let seen = assert_others_are_answered(&run.check().await);
    assert_eq!(seen, EndlessPart::ALL.into());
}

/// Guards against interim answers without end that keep an entry VM from everything else.
#[tokio::test(flavor = "multi_thread")]
async fn test_request_history_endless_interim_answers() {
    let parts = [EndlessPart::Interim];
    let mut run = Run::start_with(plan_with_endless_answers(23, &parts, false)).await;
    run.wait_for_answer_faults().await;
    let seen = assert_others_are_answered(&run.check().await);
    assert_eq!(seen, parts.into());
}

// Backend servers have faulty answers in each drawn case, beside its faults.
#[tokio::test(flavor = "multi_thread")]
async fn test_request_history_random() {
    let cases = std::env::var("HEATHERRING_CASES").ok();
    let cases = cases.and_then(|cases| cases.parse().ok()).unwrap_or(1);
    for seed in 100..100 + cases {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let faults: Vec<_> = (0..FAULTS_PER_CASE)
            .map(|_| DRAWABLE_FAULTS[rng.random_range(0..DRAWABLE_FAULTS.len())].clone())
            .collect();
        run_case(plan_with_answer_faults(seed), &faults).await;
    }
}
