//! Control replicas of a whole region are lost, over real processes.

use std::path::Path;
use std::time::Duration;

use heatherring_testutils::config_probe::ConfigProbe;
use heatherring_testutils::direct_cluster::DirectCluster;
use heatherring_testutils::direct_cluster::DirectPlan;
use heatherring_testutils::direct_cluster::DirectVm;
use heatherring_testutils::wait::wait_for;

const REGIONS: [&str; 3] = ["east", "west", "north"];

/// Changes that are confirmed before each loss: the replicas have joined by then.
const CALM_CHANGES: usize = 12;

struct Loss {
    cluster: DirectCluster,
    probe: ConfigProbe,
}

impl Loss {
    /// Starts eleven control replicas in three regions, and entry VMs.
    async fn start(entries: usize) -> Self {
        let plan = DirectPlan {
            regions: REGIONS.map(str::to_owned).to_vec(),
            controls: 11,
            entries,
            between_regions: Duration::from_millis(12),
        };
        let binary = Path::new(env!("CARGO_BIN_EXE_heatherring"));
        let cluster = DirectCluster::start(&plan, binary).await.unwrap();
        let orders = cluster.controls.iter().map(DirectVm::orders).collect();
        let entries = cluster.entries.iter();
        let entries = entries.map(|vm| (vm.plan.vm.clone(), vm.callers()));
        let probe = ConfigProbe::start(orders, entries.collect());
        Self { cluster, probe }
    }

    /// Has the control replicas of a region answer nobody.
    fn lose(&mut self, region: &str) {
        let controls = self.cluster.controls.iter();
        let lost = controls.filter(|vm| vm.plan.region == region);
        let lost: Vec<String> = lost.map(|vm| vm.plan.vm.clone()).collect();
        for vm in &lost {
            self.cluster.network.isolate(vm);
        }
    }

    async fn until_confirmed(&self, more: usize, what: &str) {
        let before = self.probe.confirmed();
        wait_for(what, async || {
            (self.probe.confirmed() >= before + more).then_some(())
        })
        .await
        .unwrap();
    }

    /// Waits until all that is confirmed by now is in force at every entry VM.
    async fn until_in_force(&self, what: &str) {
        let last = u64::try_from(self.probe.confirmed()).unwrap();
        let entries = self.cluster.entries.len();
        wait_for(what, async || {
            let seen = self.probe.seen();
            let in_force = seen.iter().filter(|seen| seen.version == last);
            (in_force.count() == entries).then_some(())
        })
        .await
        .unwrap();
    }
}

/// Guards against control that confirms nothing while one region is lost.
#[tokio::test(flavor = "multi_thread")]
async fn test_control_confirms_changes_whichever_region_is_lost() {
    let mut loss = Loss::start(0).await;
    for region in REGIONS {
        let calm = "changes while nothing is lost";
        loss.until_confirmed(CALM_CHANGES, calm).await;
        loss.lose(region);
        let what = format!("changes without {region}");
        loss.until_confirmed(2, &what).await;
        loss.cluster.network.mend();
    }
}

/// Guards against an old configuration in force for as long as the near replicas are lost.
#[tokio::test(flavor = "multi_thread")]
async fn test_changes_are_in_force_while_the_near_replicas_are_lost() {
    let mut loss = Loss::start(6).await;
    for region in REGIONS {
        let calm = "changes while nothing is lost";
        loss.until_confirmed(CALM_CHANGES, calm).await;
        loss.until_in_force(calm).await;
        loss.lose(region);
        let what = format!("changes without {region}");
        loss.until_confirmed(2, &what).await;
        loss.until_in_force(&format!("{what} in force")).await;
        loss.cluster.network.mend();
    }
}
