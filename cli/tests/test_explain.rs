//! `heatherring explain` over real processes reports decisions and the rules behind them.

use std::path::Path;

use heatherring_testutils::cluster::Cluster;
use heatherring_testutils::deployment::Deployment;
use heatherring_testutils::deployment::search;
use heatherring_testutils::deployment_plan::DeploymentPlan;

const SEED: u64 = 20_261_202;
const ENTRIES: usize = 2;

async fn start() -> Deployment {
    println!("seed {SEED}");
    let binary = Path::new(env!("CARGO_BIN_EXE_heatherring"));
    Deployment::start(DeploymentPlan::small(ENTRIES, SEED), binary)
        .await
        .unwrap()
}

/// Returns the joined reports of all entry VMs, because each keeps only its own decisions.
fn explain_everywhere(cluster: &Cluster, arguments: &[&str]) -> String {
    let explain_at = |address: &std::net::SocketAddr| {
        let entry = address.to_string();
        let mut all = vec!["explain", "--entry", &entry];
        all.extend(arguments);
        cluster.operate(&all).unwrap()
    };
    let reports: Vec<String> = cluster
        .announce_addresses()
        .iter()
        .map(explain_at)
        .collect();
    reports.join("\n")
}

#[tokio::test(flavor = "multi_thread")]
async fn test_explain_look_up_and_refusal() {
    let deployment = start().await;
    let mut caller = deployment.caller("caller", "fko-hakata", 1);
    let look_up = caller.look_up("registry").await.unwrap();
    let refused = caller.call(&search("nowhere")).await;
    assert!(refused.outcome().is_none_or(|outcome| !outcome.is_answer()));

    let look_ups = explain_everywhere(&deployment.cluster, &["--kind", "look_up"]);
    let expected = format!(
        "look-up of registry by a caller at fko-hakata: use {}",
        look_up.entry.vm
    );
    assert!(look_ups.contains(&expected), "{look_ups}");
    assert!(!look_ups.contains("service_unknown"), "{look_ups}");

    let refusals = explain_everywhere(&deployment.cluster, &["--service", "nowhere"]);
    assert!(
        refusals.contains("GET to nowhere: not run, service_unknown"),
        "{refusals}"
    );
    assert!(
        refusals.contains("rule: the manifest has no service of this name"),
        "{refusals}"
    );
}
