//! Loss of all control replicas of a region, over real processes.

use std::path::Path;
use std::time::Duration;

use heatherring_testutils::config_probe::ConfigProbe;
use heatherring_testutils::direct_cluster::DirectCluster;
use heatherring_testutils::direct_cluster::DirectPlan;
use heatherring_testutils::direct_cluster::DirectVm;
use heatherring_testutils::wait::wait_for;

const REGIONS: [&str; 3] = ["east", "west", "north"];

/// Changes that must be confirmed before each loss, so that all replicas have joined by then.
const FAULT_FREE_CHANGES: usize = 12;

struct RegionLossTest {
    cluster: DirectCluster,
    probe: ConfigProbe,
}

impl RegionLossTest {
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

    /// Isolates the control replicas of a region from the network.
    fn isolate_region(&mut self, region: &str) {
        let controls = self.cluster.controls.iter();
        let lost = controls.filter(|vm| vm.plan.region == region);
        let lost: Vec<String> = lost.map(|vm| vm.plan.vm.clone()).collect();
        for vm in &lost {
            self.cluster.network.isolate(vm);
        }
    }

    async fn wait_until_confirmed(&self, more: usize, what: &str) {
        let before = self.probe.confirmed();
        wait_for(what, async || {
            (self.probe.confirmed() >= before + more).then_some(())
        })
        .await
        .unwrap();
    }

    /// Waits until the latest change confirmed so far is in force on every entry VM.
    async fn wait_until_in_force(&self, what: &str) {
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

/// Guards against control that confirms no change while the replicas of one region are lost.
#[tokio::test(flavor = "multi_thread")]
async fn test_control_confirms_changes_whichever_region_is_lost() {
    let mut test = RegionLossTest::start(0).await;
    for region in REGIONS {
        let fault_free = "changes without a fault";
        test.wait_until_confirmed(FAULT_FREE_CHANGES, fault_free)
            .await;
        test.isolate_region(region);
        let what = format!("changes without {region}");
        test.wait_until_confirmed(2, &what).await;
        test.cluster.network.mend();
    }
}

/// Guards against entry VMs that keep an old configuration while the control replicas of their
/// own region are lost.
#[tokio::test(flavor = "multi_thread")]
async fn test_changes_are_in_force_while_the_near_replicas_are_lost() {
    let mut test = RegionLossTest::start(6).await;
    for region in REGIONS {
        let fault_free = "changes without a fault";
        test.wait_until_confirmed(FAULT_FREE_CHANGES, fault_free)
            .await;
        test.wait_until_in_force(fault_free).await;
        test.isolate_region(region);
        let what = format!("changes without {region}");
        test.wait_until_confirmed(2, &what).await;
        test.wait_until_in_force(&format!("{what} in force")).await;
        test.cluster.network.mend();
    }
}
