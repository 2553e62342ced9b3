//! Stop requests, from signals or from a test.

use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::watch;

/// Requests a stop: once for a planned stop, twice to end the wait.
#[derive(Clone, Debug)]
pub struct ShutdownTrigger {
    tx: watch::Sender<u32>,
}

impl ShutdownTrigger {
    /// Requests a stop; the second call ends the wait for work in flight.
    pub fn request(&self) {
        self.tx.send_modify(|count| *count += 1);
    }
}

/// Waits for stop requests.
#[derive(Clone, Debug)]
pub struct Shutdown {
    rx: watch::Receiver<u32>,
}

impl Shutdown {
    /// Returns a pair that is not tied to any signal.
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

    /// Ignores SIGHUP, which would end the process by default. A process that reads its settings
    /// only at its start has no other use for it.
    ///
    /// # Errors
    ///
    /// Fails if the operating system refuses the signal handler.
    pub fn ignore_hangups() -> std::io::Result<()> {
        let mut hangups = signal(SignalKind::hangup())?;
        tokio::spawn(async move {
            while hangups.recv().await.is_some() {
                log::info!(event = "hangup_ignored"; "ignored SIGHUP: settings are read only at start");
            }
        });
        Ok(())
    }

    /// Waits for the first request, which begins the planned stop.
    pub async fn requested(&mut self) {
        self.wait_for(1).await;
    }

    /// Waits for the second request, which ends the wait for work in flight.
    pub async fn requested_again(&mut self) {
        self.wait_for(2).await;
    }

    async fn wait_for(&mut self, least: u32) {
        if self.rx.wait_for(|count| *count >= least).await.is_err() {
            // All triggers have been dropped, so no request can come any more.
            std::future::pending::<()>().await;
        }
    }
}
