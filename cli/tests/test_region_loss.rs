//! Control replicas of a whole region are lost, over real processes.

use std::path::Path;
use std::time::Duration;

use heatherring_testutils::config_probe::ConfigProbe;
use heatherring_testutils::direct_cluster::DirectCluster;
use heatherring_testutils::direct_cluster::DirectPlan;
use heatherring_testutils::direct_cluster::DirectVm;
use heatherring_testutils::wait::wait_for;

/// Changes that are confirmed before each loss: the replicas have joined by then.
const CALM_CHANGES: usize = 12;

async fn until_confirmed(probe: &ConfigProbe, more: usize, what: &str) {
    let before = probe.confirmed();
    wait_for(what, async || {
        (probe.confirmed() >= before + more).then_some(())
    })
    .await
    .unwrap();
}

/// Guards against control that confirms nothing while a region is lost: too many of those who
/// vote stood there.
#[tokio::test(flavor = "multi_thread")]
async fn test_control_confirms_changes_whichever_region_is_lost() {
    let plan = DirectPlan {
        regions: ["east", "west", "north"].map(str::to_owned).to_vec(),
        controls: 11,
        entries: 0,
        between_regions: Duration::from_millis(12),
    };
    let binary = Path::new(env!("CARGO_BIN_EXE_heatherring"));
    let mut cluster = DirectCluster::start(&plan, binary).await.unwrap();
    let orders = cluster.controls.iter().map(DirectVm::orders).collect();
    let probe = ConfigProbe::start(orders, Vec::new());
    for region in &plan.regions {
        until_confirmed(&probe, CALM_CHANGES, "changes while nothing is lost").await;
        let lost = cluster
            .controls
            .iter()
            .filter(|vm| vm.plan.region == *region);
        let lost: Vec<String> = lost.map(|vm| vm.plan.vm.clone()).collect();
        for vm in &lost {
            cluster.network.isolate(vm);
        }
        until_confirmed(&probe, 2, &format!("changes without {region}")).await;
        cluster.network.mend();
    }
}
