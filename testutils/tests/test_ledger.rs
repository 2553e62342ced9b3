//! Shows that a ledger tells what ran.

use futures_util::FutureExt;
use heatherring_testutils::ledger;
use heatherring_testutils::ledger::Asked;
use heatherring_testutils::ledger::Finish;
use heatherring_testutils::ledger::Ledger;
use heatherring_testutils::ledger::LedgerEventKind;
use heatherring_testutils::ledger::LedgerServer;
use heatherring_testutils::wait::wait_for;

/// Guards against a slot that stays in use after its request was dropped while it waited for it.
#[tokio::test]
async fn test_ledger_ends_what_is_dropped_as_it_begins() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("ledger");
    let ledger = Ledger::create(&path).unwrap();
    let server = LedgerServer {
        backend: "b1".to_owned(),
        service: "registry".to_owned(),
        place: "fko-hakata".to_owned(),
        slots: 1,
    };
    let asked = Asked {
        nonce: "n1".to_owned(),
        ..Asked::default()
    };
    let begun = ledger.begin(&server, asked.clone()).now_or_never();
    assert!(begun.is_none());
    wait_for("the slot is free", async || {
        let events = ledger::read(&path).unwrap();
        let free = ledger.in_use("b1").await == 0;
        (free && events.len() == 2).then_some(())
    })
    .await
    .unwrap();
    let events = ledger::read(&path).unwrap();
    let kinds: Vec<_> = events.into_iter().map(|event| event.kind).collect();
    let ended = LedgerEventKind::End {
        nonce: "n1".to_owned(),
        finish: Finish::Cancelled,
    };
    assert_eq!(kinds, [LedgerEventKind::Start(asked), ended]);
    let next = ledger.begin(&server, Asked::default()).await;
    assert!(next.is_some());
}
