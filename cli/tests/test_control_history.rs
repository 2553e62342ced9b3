//! Checks the recorded history of concurrent operators and entry VMs while control replicas
//! fail.
//!
//! The seeds are fixed. `HEATHERRING_CASES` sets the number of additional cases with
//! randomly drawn faults, as described in docs/PROOFS.md.

mod control_run;

use std::collections::BTreeMap;
use std::path::Path;

use control_run::Fault;
use control_run::run;
use heatherring_testutils::control_history::Call;
use heatherring_testutils::control_history::ControlHistory;
use heatherring_testutils::control_history::SubmitAnswer;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Number of faults in a randomly drawn case.
const DRAWN_FAULTS: usize = 6;
const CASES_VARIABLE: &str = "HEATHERRING_CASES";

fn binary() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_heatherring"))
}

async fn check(seed: u64, faults: &[Fault]) {
    let history = run(binary(), seed, faults).await.unwrap();
    println!("{}", summary(&history));
    let violations = history.complaints();
    if !violations.is_empty() {
        for operation in &history.operations {
            println!("{operation:?}");
        }
    }
    assert!(violations.is_empty(), "seed {seed}: {violations:?}");
}

fn summary(history: &ControlHistory) -> String {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for operation in &history.operations {
        *counts.entry(kind(&operation.call)).or_default() += 1;
    }
    let accepted = history.final_records.values().next().map_or(0, Vec::len);
    format!("{counts:?}, {accepted} manifests accepted in the end")
}

const fn kind(call: &Call) -> &'static str {
    match call {
        Call::Show(_) => "shown",
        Call::Submit { answer, .. } => match answer {
            SubmitAnswer::Accepted { .. } => "accepted",
            SubmitAnswer::Conflict { .. } => "conflict",
            SubmitAnswer::Stale { .. } => "stale",
            SubmitAnswer::NotAccepted => "not accepted",
            SubmitAnswer::Unknown => "unknown",
        },
    }
}

macro_rules! histories {
    ($($name:ident: $seed:literal, [$($fault:ident),+];)+) => {
        $(
            #[tokio::test(flavor = "multi_thread")]
            async fn $name() {
                check($seed, &[$(Fault::$fault),+]).await;
            }
        )+
    };
}

histories! {
    test_control_history_killed: 1, [Kill, Kill, KillTwo, KillAll];
    test_control_history_frozen: 2, [Freeze, Freeze, FreezeAll, Freeze];
    test_control_history_cut: 3, [Isolate, CutInbound, CutOutbound, CutLink, Isolate];
    test_control_history_lost_disk: 4, [LoseDisk, Kill, LoseDiskTwice, KillAll];
}

#[tokio::test(flavor = "multi_thread")]
async fn test_control_history_drawn() {
    let cases = std::env::var(CASES_VARIABLE).ok();
    let cases = cases.and_then(|cases| cases.parse().ok()).unwrap_or(1);
    for seed in 100..100 + cases {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let faults = Fault::draw(&mut rng, DRAWN_FAULTS);
        check(seed, &faults).await;
    }
}
