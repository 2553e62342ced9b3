//! Requests to stop, from signals or from a test.

use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::watch;

/// Tells a process to stop: once for a planned stop, twice to end the wait.
#[derive(Clone, Debug)]
pub struct ShutdownTrigger {
    tx: watch::Sender<u32>,
}

impl ShutdownTrigger {
    /// Asks for a stop; the second call ends the wait for what is still in flight.
    pub fn request(&self) {
        self.tx.send_modify(|count| *count += 1);
    }
}

/// Waits for requests to stop.
#[derive(Clone, Debug)]
pub struct Shutdown {
    rx: watch::Receiver<u32>,
}

impl Shutdown {
    /// Returns a pair that isn't tied to any signal.
    #[must_use]
    pub fn new() -> (ShutdownTrigger, Self) {
        let (tx, rx) = watch::channel(0);
        (ShutdownTrigger { tx }, Self { rx })
    }

    /// Returns a shutdown that SIGTERM and SIGINT (Ctrl-C) request.
    ///
    /// # Errors
    ///
    /// Fails if the operating system refuses the signal handlers.
    pub fn on_signals() -> std::io::Result<Self> {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let (trigger, shutdown) = Self::new();
        tokio::spawn(async move {
            loop {
                tokio::select! {
                    _ = terminate.recv() => {}
                    _ = interrupt.recv() => {}
                }
                trigger.request();
            }
        });
        Ok(shutdown)
    }

    /// Has SIGHUP do nothing. By default it would end the process; one whose settings are
    /// read at its start only has no other use for it.
    ///
    /// # Errors
    ///
    /// Fails if the operating system refuses the signal handler.
    pub fn ignore_hangups() -> std::io::Result<()> {
        let mut hangups = signal(SignalKind::hangup())?;
        tokio::spawn(async move {
            while hangups.recv().await.is_some() {
                log::info!(event = "hangup_ignored"; "settings are read at the start only");
            }
        });
        Ok(())
    }

    /// Waits for the first request, the planned stop.
    pub async fn requested(&mut self) {
        self.wait_for(1).await;
    }

    /// Waits for the second request, which ends the wait for what is in flight.
    pub async fn requested_again(&mut self) {
        self.wait_for(2).await;
    }

    async fn wait_for(&mut self, least: u32) {
        if self.rx.wait_for(|count| *count >= least).await.is_err() {
            // Nobody is left who could ask.
            std::future::pending::<()>().await;
        }
    }
}
