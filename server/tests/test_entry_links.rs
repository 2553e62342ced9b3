//! Rate limits of links between regions, enforced by the entry VMs that send over them.

mod entry_support;

use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::entry_support::FAR_PLACE;
use crate::entry_support::PLACE;
use crate::entry_support::caller::Reply;
use crate::entry_support::caller::wait_until;
use crate::entry_support::rig::Rig;
use crate::entry_support::scripted_backend::Script;

const LEASE: Duration = Duration::from_secs(10);
const NEAR: usize = 0;
const FAR: usize = 1;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_link_full_of_requests_refuses_more() {
    let mut rig = Rig::start(&[PLACE, FAR_PLACE], LEASE).await;
    let backend = rig.start_backend(&[Script::Whole]).await;
    // Two such requests exceed what the link carries in one second.
    let path = format!("/{}", "long".repeat(150));
    let is_refused = |reply: &Reply| {
        reply.header("heatherring-outcome") == "not_run" && reply.json()["reason"] == "link_limit"
    };
    wait_until(async || {
        let (first, second) = tokio::join!(rig.get(FAR, &path), rig.get(FAR, &path));
        is_refused(&first) || is_refused(&second)
    })
    .await;
    assert!(backend.requests.load(Ordering::SeqCst) > 0);
    assert_eq!(rig.get(NEAR, "/near").await.text(), "answer to /near");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_large_answer_takes_no_more_than_the_link() {
    // Guards against a link between regions that carries more than its limit because only
    // requests are counted, or an answer is counted after it was sent. The answer is larger than
    // the link carries before the request's deadline.
    let mut rig = Rig::start(&[PLACE, FAR_PLACE], LEASE).await;
    let _backend = rig.start_backend(&[Script::Large]).await;
    let near = rig.get(NEAR, "/near").await;
    assert_eq!(near.header("heatherring-outcome"), "answer");
    near.body.expect("there is no limit within the region");
    // The connection may break before the head is sent.
    if let Ok(far) = rig.try_get(FAR, "/far").await {
        far.body
            .expect_err("the link can't carry the answer before the deadline");
    }
}
