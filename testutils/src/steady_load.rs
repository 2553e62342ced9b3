//! Callers that send one request after another until they are told to stop.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::caller::CallRecord;
use crate::caller::CallSpec;
use crate::caller::Caller;
use crate::service_time::exponential;

/// Runs callers in the background.
#[derive(Debug)]
pub struct SteadyLoad {
    stop: watch::Sender<bool>,
    done: watch::Receiver<usize>,
    tasks: JoinSet<Vec<CallRecord>>,
}

impl SteadyLoad {
    /// Starts the callers. Each draws its requests from `specs` and pauses between them
    /// for drawn times with the mean `pause`.
    #[must_use]
    pub fn start(callers: Vec<Caller>, specs: &[CallSpec], pause: Duration, seed: u64) -> Self {
        let (stop, stop_rx) = watch::channel(false);
        let (done_tx, done) = watch::channel(0);
        let mut tasks = JoinSet::new();
        for (stream, caller) in (0..).zip(callers) {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            rng.set_stream(stream);
            let specs = specs.to_vec();
            tasks.spawn(run(
                caller,
                specs,
                pause,
                rng,
                stop_rx.clone(),
                done_tx.clone(),
            ));
        }
        Self { stop, done, tasks }
    }

    /// Returns the number of requests that have come to an end.
    #[must_use]
    pub fn done(&self) -> usize {
        *self.done.borrow()
    }

    /// Waits until so many more requests have come to an end.
    pub async fn wait_for_more(&mut self, more: usize) {
        let wanted = self.done() + more;
        let _ = self.done.wait_for(|done| *done >= wanted).await;
    }

    /// Lets the callers finish what they have begun and returns what they recorded.
    ///
    /// # Panics
    ///
    /// Panics if a caller panicked.
    pub async fn finish(self) -> Vec<CallRecord> {
        self.stop.send_replace(true);
        self.tasks.join_all().await.concat()
    }
}

async fn run(
    mut caller: Caller,
    specs: Vec<CallSpec>,
    pause: Duration,
    mut rng: ChaCha8Rng,
    stop: watch::Receiver<bool>,
    done: watch::Sender<usize>,
) -> Vec<CallRecord> {
    let mut records = Vec::new();
    while !*stop.borrow() {
        let spec = &specs[rng.random_range(0..specs.len())];
        records.push(caller.call(spec).await);
        done.send_modify(|done| *done += 1);
        let pause = exponential(&mut rng, pause.as_secs_f64());
        sleep(Duration::from_secs_f64(pause)).await;
    }
    records
}
