//! A control replica that joins, with replicas of its settings that are gone.

mod direct_support;

use std::net::SocketAddr;

use direct_support::Deployment;
use direct_support::Replica;
use heatherring_lib::settings::ControlSettings;
use heatherring_server::data_folder::IDENTITY_FILE;
use heatherring_testutils::loopback::CONTROL_PORT;
use heatherring_testutils::wait::wait_for;
use tokio::net::TcpListener;

/// So many that asking one after another takes longer than [`wait_for`] waits.
const SILENT: usize = 24;

/// Binds addresses that take connections and never answer.
async fn bind_silent(deployment: &mut Deployment, count: usize) -> Vec<TcpListener> {
    let mut silent = Vec::new();
    for _ in 0..count {
        let address = SocketAddr::new(deployment.block.next_vm(), CONTROL_PORT);
        silent.push(TcpListener::bind(address).await.unwrap());
    }
    silent
}

/// Returns the settings of a replica that joins by asking `seeds`.
fn joining(deployment: &mut Deployment, seeds: Vec<SocketAddr>) -> ControlSettings {
    let listen = SocketAddr::new(deployment.block.next_vm(), CONTROL_PORT);
    let mut settings = deployment.control_settings(listen);
    let formation = settings.formation.as_mut().unwrap();
    formation.first_start = false;
    formation.seeds = seeds;
    settings
}

async fn until_joined(settings: &ControlSettings) {
    let identity = settings.data_folder.join(IDENTITY_FILE);
    wait_for("the replica to join", async || {
        identity.exists().then_some(())
    })
    .await
    .unwrap();
}

/// Guards against a replica that joins too late, since seeds that are gone are asked before a live one.
#[tokio::test(flavor = "multi_thread")]
async fn test_joining_is_not_delayed_by_seeds_that_are_gone() {
    let mut deployment = Deployment::start(3);
    let silent = bind_silent(&mut deployment, SILENT).await;
    let refusing = SocketAddr::new(deployment.block.next_vm(), CONTROL_PORT);
    let mut seeds: Vec<SocketAddr> = silent.iter().map(|l| l.local_addr().unwrap()).collect();
    seeds.push(refusing);
    seeds.push(deployment.replicas[2].settings.listen);
    let settings = joining(&mut deployment, seeds);
    let _replica = Replica::start(settings.clone());
    until_joined(&settings).await;
}
