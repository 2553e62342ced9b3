//! Task that asks backend servers whether they are cold while control is unreachable.
//!
//! The dispatcher decides which queries are due and what a reply means for the following
//! requests; this task sends the queries, as health checks.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use heatherring_lib::backend_statement::ReceivedStatement;
use heatherring_lib::clock::Clock;
use heatherring_lib::cold_queries::ColdQuery;
use heatherring_lib::cold_queries::ColdReply;
use heatherring_lib::duration_text::whole_ms;
use http::Request;
use http_body_util::Full;
use snafu::ResultExt;
use snafu::Snafu;

use crate::backend_connection::ConnectError;
use crate::backend_connection::SendError;
use crate::backend_pool::BackendPool;
use crate::dispatch_task::DispatchHandle;
use crate::interface::EntryInterface;

/// Timeout of a reply: later ones are of no use, since a reply is valid for 0.65 s, and the next
/// query is sent after 0.25 s.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// Tells why a query got no reply.
#[derive(Debug, Snafu)]
enum QueryError {
    #[snafu(display("{source}"))]
    Unreachable { source: ConnectError },
    #[snafu(display("invalid path of the health check: {source}"))]
    Path { source: http::Error },
    #[snafu(display("the health check failed: {source}"))]
    Exchange { source: SendError },
    #[snafu(display("the reply is from another backend server"))]
    WrongBackend,
    #[snafu(display("timed out waiting for the reply"))]
    Timeout,
}

/// Sends cold queries and passes the replies to the dispatcher.
#[derive(Clone, Debug)]
pub struct ColdQuerier {
    /// Determines when the next queries are due.
    pub clock: Arc<dyn Clock>,
    /// Returns the queries that are due, and receives the replies.
    pub dispatch: DispatchHandle,
    /// Provides connections to backend servers.
    pub pool: BackendPool,
    /// Parses the replies.
    pub interface: Arc<dyn EntryInterface>,
}

impl ColdQuerier {
    /// Sends the queries that are due until the process ends.
    pub async fn run(self) {
        while let Some((queries, next)) = self.dispatch.cold_queries().await {
            for query in queries {
                tokio::spawn(self.clone().ask(query));
            }
            let pause = next.saturating_duration_since(self.clock.now());
            tokio::time::sleep(pause).await;
        }
    }

    async fn ask(self, query: ColdQuery) {
        let asking = tokio::time::timeout(ANSWER_TIMEOUT, self.exchange(&query));
        let answer = asking.await.unwrap_or(Err(QueryError::Timeout));
        match answer {
            Ok(cold_for) => {
                if !cold_for.is_zero() {
                    log::info!(event = "backend_cold", backend = query.name.as_str(), cold_ms = whole_ms(cold_for); "a backend server reported that it is cold; control is unreachable");
                }
                let reply = ColdReply { query, cold_for };
                self.dispatch.note_cold_reply(reply);
            }
            Err(error) => {
                log::debug!(event = "backend_unasked", backend = query.name.as_str(), error:% = error; "a backend server did not report whether it is cold");
            }
        }
    }

    async fn exchange(&self, query: &ColdQuery) -> Result<Duration, QueryError> {
        let connecting =
            self.pool
                .connect_anew(query.address, query.service.max_connections, ANSWER_TIMEOUT);
        let mut connection = connecting.await.context(UnreachableSnafu)?;
        let req = Request::get(query.service.health_path.as_str())
            .header(http::header::HOST, query.address.to_string())
            .body(Full::<Bytes>::default())
            .context(PathSnafu)?;
        let answering = connection.send(req, None);
        let head = answering.await.context(ExchangeSnafu)?.head;
        // The answer's head is all that matters; the pool keeps no connection for such a request.
        self.pool.give_back(connection);
        let reply = self.interface.read_health(&head, &query.name);
        if let Some(reply) = &reply {
            let received = ReceivedStatement {
                statement: reply.statement,
                at: self.clock.now(),
            };
            self.dispatch.note_statement(query.backend, received);
        }
        reply
            .map(|reply| reply.cold_for)
            .ok_or(QueryError::WrongBackend)
    }
}
