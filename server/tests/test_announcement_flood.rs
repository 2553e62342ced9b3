//! Control while more backend servers announce themselves than it can commit at once.

mod direct_support;

use std::net::SocketAddr;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;

use direct_support::Deployment;
use futures_util::future::join_all;

/// Number of backend servers that announce themselves at the same time.
const ANNOUNCERS: usize = 64;

/// Guards against manifests that are not decided, and draining that is not confirmed, until a fleet
/// that starts has announced itself.
#[tokio::test(flavor = "multi_thread")]
async fn test_orders_are_decided_during_a_flood_of_announcements() {
    let mut deployment = Deployment::start(3);
    let backend = deployment.start_backend("backend-1").await;
    deployment.submit_routes(1, 0).await;
    let next = AtomicU16::new(0);
    let announce = async || {
        loop {
            let number = next.fetch_add(1, Ordering::Relaxed);
            let address = SocketAddr::from(([127, 0, 0, 1], number.max(1)));
            let name = format!("starting-{number}");
            deployment.announce_address(&name, address, 1).await;
        }
    };
    let flood = join_all((0..ANNOUNCERS).map(|_| announce()));
    let orders = async {
        for version in 2..22 {
            deployment.submit_routes(version, version - 1).await;
        }
        deployment.announce(&backend, 2, "Draining").await;
        deployment.announce(&backend, 3, "Ready").await;
        deployment.version().await
    };
    let version = tokio::select! {
        version = orders => version,
        _ = flood => unreachable!("announcements do not end"),
    };
    assert_eq!(version, 21);
}
