//! Tests of the view of an entry VM and its proof, with the writer and a reader on two threads.

use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use heatherring_lib::fleet_update::FleetView;
use heatherring_lib::id::ManifestVersion;
use heatherring_server::proved_view::ProvedViewReader;
use tokio::sync::watch;

const VIEWS: u64 = 50_000;

fn numbered_view(number: u64) -> Arc<FleetView> {
    let mut view = FleetView::default();
    view.version = ManifestVersion(number);
    Arc::new(view)
}

/// Guards against a view that is joined with the proof of a later one, by which an entry VM refuses
/// a request for good whose route was added in between.
#[tokio::test]
async fn test_proved_view_is_not_older_than_its_proof() {
    let start = Instant::now();
    let proved_at = move |number| start + Duration::from_millis(number);
    let (view_tx, view) = watch::channel(numbered_view(1));
    let (proved_tx, proved) = watch::channel(proved_at(1));
    let reader = ProvedViewReader::new(view, proved);
    let writer = thread::spawn(move || {
        for number in 2..=VIEWS {
            view_tx.send_replace(numbered_view(number));
            proved_tx.send_replace(proved_at(number));
        }
        (view_tx, proved_tx)
    });
    loop {
        let is_last = writer.is_finished();
        let read = reader.first().await.unwrap();
        let number = read.view.version.0;
        assert!(
            read.proved_at <= proved_at(number),
            "view {number} has the proof of a later one"
        );
        if is_last {
            break;
        }
    }
    let read = reader.first().await.unwrap();
    assert_eq!(read.view.version, ManifestVersion(VIEWS));
    assert_eq!(read.proved_at, proved_at(VIEWS));
    writer.join().unwrap();
}
