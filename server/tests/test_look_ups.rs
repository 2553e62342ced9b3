//! Look-ups by headroom, with control replicas that form a cluster.

mod direct_support;

use std::net::SocketAddr;
use std::sync::Arc;

use direct_support::Deployment;
use direct_support::HOST;
use direct_support::PLACE;
use direct_support::REGION;
use direct_support::call;
use direct_support::request;
use heatherring_lib::clock::Clock;
use heatherring_lib::clock::SystemClock;
use heatherring_lib::direct_dispatch::DispatchConfig;
use heatherring_lib::direct_settings::DirectSettings;
use heatherring_lib::direct_settings::LookUpSettings;
use heatherring_lib::direct_settings::ResendSettings;
use heatherring_lib::dispatch_policy::DispatchPolicy;
use heatherring_lib::fleet_record::EntryRecord;
use heatherring_lib::headroom::Headroom;
use heatherring_lib::heartbeat_timing::HeartbeatTiming;
use heatherring_lib::id::PlaceName;
use heatherring_lib::id::RegionName;
use heatherring_lib::id::VmName;
use heatherring_lib::settings::Security;
use heatherring_server::backend_pool::BackendPool;
use heatherring_server::crash_tracker::CrashTracker;
use heatherring_server::dispatch_task::DispatchHandle;
use heatherring_server::fleet_follower;
use heatherring_server::fleet_follower::Followed;
use heatherring_server::fleet_follower::FollowerSetup;
use heatherring_server::peer_channel::PeerChannels;
use heatherring_server::peer_security::PeerSecurity;
use heatherring_testutils::wait::wait_for;
use http::Method;
use http::StatusCode;
use tokio::sync::watch;

/// Number of answers over which mentions are counted.
const ANSWERS: usize = 40;

/// An entry VM that serves nothing and tells the headroom that a test sets.
struct StandIn {
    callers: SocketAddr,
    headroom: watch::Sender<Option<Headroom>>,
    _ready: watch::Sender<bool>,
    _seeds: watch::Sender<Vec<SocketAddr>>,
    _followed: Followed,
}

/// Starts a stand-in that joins the deployment of another entry VM.
fn start_stand_in(other: &DirectSettings, callers: SocketAddr, told: Headroom) -> StandIn {
    let clock: Arc<dyn Clock> = Arc::new(SystemClock);
    let vm = VmName::new("stand-in");
    let config = DispatchConfig {
        heartbeat: HeartbeatTiming::DEFAULT_INTERVAL,
        vm: vm.clone(),
        region: RegionName::new(REGION),
        places: other.places.clone(),
        resends: ResendSettings::default().limit(),
        policy: DispatchPolicy::default(),
        link_rate: None,
    };
    let (ready_tx, ready) = watch::channel(true);
    let (seeds_tx, seeds) = watch::channel(other.control_peers());
    let (headroom_tx, headroom) = watch::channel(Some(told));
    let security = PeerSecurity::from_settings(&Security::OpenLoopback).unwrap();
    let (crashes, _) = CrashTracker::new(vm.clone(), Arc::clone(&clock), BackendPool::spawn());
    let followed = fleet_follower::spawn(FollowerSetup {
        vm,
        record: EntryRecord {
            place: PlaceName::new(PLACE),
            region: RegionName::new(REGION),
            callers,
            life: 1,
        },
        places: other.places.clone(),
        seeds,
        ready,
        headroom,
        channels: PeerChannels::new(security),
        clock: Arc::clone(&clock),
        dispatch: DispatchHandle::spawn(config, clock, None),
        crashes,
    });
    StandIn {
        callers,
        headroom: headroom_tx,
        _ready: ready_tx,
        _seeds: seeds_tx,
        _followed: followed,
    }
}

/// Returns how many of the answers to look-ups at `at` name `address`; `None` without an answer.
async fn mentions(at: SocketAddr, address: SocketAddr) -> Option<usize> {
    let look_up = format!("/v1/entries?host={HOST}&region={REGION}");
    let mut mentions = 0;
    for _ in 0..ANSWERS {
        let answer = call(at, request(Method::GET, &look_up, "")).await?;
        let text = String::from_utf8(answer.body.to_vec()).ok()?;
        if answer.status != StatusCode::OK {
            return None;
        }
        mentions += usize::from(text.contains(&format!("\"{address}\"")));
    }
    Some(mentions)
}

/// Guards against callers that are sent to an entry VM that refuses them: what it tells reaches
/// those that answer look-ups, at control and at other entry VMs.
#[tokio::test(flavor = "multi_thread")]
async fn test_an_entry_vm_out_of_room_is_named_no_more_and_comes_back() {
    let mut deployment = Deployment::start(3);
    deployment.look_ups = LookUpSettings {
        by_headroom: true,
        size: 1.0,
    };
    let entry = deployment.start_entry("entry-1");
    let other = deployment.start_entry("entry-2");
    deployment.submit_routes(1, 0).await;
    let callers = SocketAddr::new(deployment.block.next_vm(), 80);
    let all_free = Headroom::new(1.0, 8, 7);
    let stand_in = start_stand_in(&entry.settings, callers, all_free);
    let control = deployment.replicas[0].settings.direct.as_ref();
    let control = control.and_then(|direct| direct.look_ups).unwrap();
    let answering = [
        entry.settings.listen.look_ups.unwrap(),
        other.settings.listen.look_ups.unwrap(),
        control,
    ];
    let until = async |what: &str, is_reached: &dyn Fn(usize) -> bool| {
        for at in answering {
            wait_for(what, async || {
                let mentions = mentions(at, stand_in.callers).await?;
                is_reached(mentions).then_some(())
            })
            .await
            .unwrap();
        }
    };
    until("mentions", &|mentions| mentions == ANSWERS).await;
    stand_in
        .headroom
        .send_replace(Some(Headroom::new(1.0, 0, 0)));
    until("no mentions", &|mentions| mentions == 0).await;
    stand_in
        .headroom
        .send_replace(Some(Headroom::new(1.0, 4, 7)));
    let few = ANSWERS / 4..ANSWERS * 4 / 5;
    until("few mentions", &|mentions| few.contains(&mentions)).await;
}

/// Guards against a change of the answers where entry VMs are not set to tell their headroom.
#[tokio::test(flavor = "multi_thread")]
async fn test_without_the_setting_all_are_named_in_each_answer() {
    let mut deployment = Deployment::start(3);
    let entry = deployment.start_entry("entry-1");
    let other = deployment.start_entry("entry-2");
    deployment.submit_routes(1, 0).await;
    let at = entry.settings.listen.look_ups.unwrap();
    for named in [&entry, &other] {
        wait_for("mentions", async || {
            let mentions = mentions(at, named.settings.listen.callers).await?;
            (mentions == ANSWERS).then_some(())
        })
        .await
        .unwrap();
    }
}
