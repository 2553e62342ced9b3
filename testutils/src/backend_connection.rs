//! One connection of a fake backend server.

use std::error::Error;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::early_answer;
use crate::endless_answer::EndlessAnswer;
use crate::fake_backend_server::Server;
use crate::late_answer::LateAnswer;
use crate::late_answer::LateAnswerStream;
use crate::ledger::LedgerEventKind;

/// Counts an open connection until it is dropped.
#[derive(Debug)]
pub(crate) struct OpenConnection(pub Arc<AtomicU32>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Serves one connection.
#[derive(Debug)]
pub(crate) struct BackendConnection {
    pub server: Arc<Server>,
    pub serial: u64,
    pub closing: watch::Receiver<bool>,
    pub _open: OpenConnection,
}

impl BackendConnection {
    /// Serves the connection until it ends or the server closes it.
    pub async fn serve(mut self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        sleep(Duration::from_millis(self.server.config.connection_ms)).await;
        // A caller that has left leaves nothing to serve.
        if self.speak_first(&mut stream).await.is_err() {
            return;
        }
        let requests = AtomicU32::new(0);
        let late = LateAnswer::default();
        let io = TokioIo::new(LateAnswerStream::new(stream, late.clone()));
        let server = Arc::clone(&self.server);
        let serial = self.serial;
        let service = service_fn(move |req| {
            late.fall_due();
            let late = late.clone();
            let server = Arc::clone(&server);
            let number = requests.fetch_add(1, Ordering::Relaxed);
            async move { server.answer(req, serial, number, &late).await }
        });
        let mut connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .serve_connection(io, service);
        let ended = tokio::select! {
            ended = &mut connection => Some(ended),
            _ = self.closing.wait_for(|closing| *closing) => None,
        };
        let ended = if let Some(ended) = ended {
            ended
        } else {
            Pin::new(&mut connection).graceful_shutdown();
            (&mut connection).await
        };
        if let Err(err) = ended
            && let Some(endless) = endless_answer(&err)
        {
            let mut stream = connection.into_parts().io.into_inner().into_inner();
            tokio::select! {
                _ = endless.write(&mut stream) => {}
                _ = self.closing.wait_for(|closing| *closing) => {}
            }
        }
    }

    async fn speak_first(&self, stream: &mut TcpStream) -> io::Result<()> {
        let server = &self.server;
        let Some(early) = server.draw_early_answer(self.serial) else {
            return Ok(());
        };
        sleep(Duration::from_millis(early.delay_ms)).await;
        let identity = &server.identity;
        let answer = early_answer::to_bytes(early.kind, &identity.backend, &identity.place).await;
        stream.write_all(&answer).await?;
        server.ledger.note(identity, LedgerEventKind::SpokeFirst);
        Ok(())
    }
}

/// Returns the endless answer by which a connection was taken from the HTTP library.
fn endless_answer(err: &hyper::Error) -> Option<EndlessAnswer> {
    let source = err.source()?;
    source.downcast_ref::<EndlessAnswer>().cloned()
}
