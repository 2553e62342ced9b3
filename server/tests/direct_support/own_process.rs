//! Simulation of a process by a thread with its own Tokio runtime.

use std::fmt::Debug;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use heatherring_server::shutdown::Shutdown;
use heatherring_server::shutdown::ShutdownTrigger;
use tokio::runtime;
use tokio::sync::oneshot;

/// Time within which a simulated process must end after two stop requests.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);

/// Runs one process of the system on a single-threaded runtime. The runtime is dropped when the
/// process function returns, which cancels all remaining tasks as the end of a process would.
pub struct OwnProcess<E> {
    trigger: ShutdownTrigger,
    handle: runtime::Handle,
    thread: Option<thread::JoinHandle<()>>,
    ended: Option<oneshot::Receiver<Result<(), E>>>,
}

impl<E: Debug + Send + 'static> OwnProcess<E> {
    pub fn start<F>(run: impl FnOnce(Shutdown) -> F) -> Self
    where
        F: Future<Output = Result<(), E>> + Send + 'static,
    {
        let (trigger, shutdown) = Shutdown::new();
        let running = run(shutdown);
        let (ended_tx, ended) = oneshot::channel();
        let mut builder = runtime::Builder::new_current_thread();
        let runtime = builder.enable_all().build().unwrap();
        let handle = runtime.handle().clone();
        let thread = thread::spawn(move || {
            let result = runtime.block_on(running);
            drop(runtime);
            // The receiver is gone if the process was dropped instead of awaited.
            let _ = ended_tx.send(result);
        });
        Self {
            trigger,
            handle,
            thread: Some(thread),
            ended: Some(ended),
        }
    }

    /// Requests a planned stop, as SIGTERM does.
    pub fn begin_stop(&self) {
        self.trigger.request();
    }

    /// Waits until the process function has returned, and checks that it succeeded.
    pub async fn ended(mut self) {
        let ended = self.ended.take().unwrap();
        ended.await.unwrap().unwrap();
    }

    /// Blocks the runtime's only thread, as SIGSTOP does, until the result is dropped.
    pub async fn freeze_until_released(&self) -> Frozen {
        let (release, released) = mpsc::channel();
        let (begun, has_begun) = oneshot::channel();
        self.handle.spawn(async move {
            let _ = begun.send(());
            // Fails once the sender is dropped.
            let _ = released.recv();
        });
        has_begun.await.unwrap();
        Frozen { _release: release }
    }

    /// Blocks the runtime's only thread for a time, as SIGSTOP and SIGCONT do.
    pub fn freeze(&self, time: Duration) {
        self.handle.spawn(async move { thread::sleep(time) });
    }
}

/// A simulated process that does nothing until this is dropped.
pub struct Frozen {
    _release: mpsc::Sender<()>,
}

impl<E> Drop for OwnProcess<E> {
    /// Stops the process, so that its addresses are free for other tests.
    fn drop(&mut self) {
        self.trigger.request();
        self.trigger.request();
        let Some(thread) = self.thread.take() else {
            return;
        };
        let until = Instant::now() + STOP_TIMEOUT;
        while !thread.is_finished() && Instant::now() < until {
            thread::sleep(Duration::from_millis(10));
        }
        let has_ended = thread.is_finished() && thread.join().is_ok();
        assert!(
            has_ended || thread::panicking(),
            "a simulated process panicked or did not stop"
        );
    }
}
