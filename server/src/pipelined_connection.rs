//! Pipelined HTTP/1.1 connection of a caller: requests are read before earlier ones are answered.
//!
//! Idempotent requests are handled concurrently. An action starts only after everything before
//! it on its connection has been answered, and nothing after it starts before its answer.
//! Answers are sent in the order of the requests. For the alternatives considered see
//! `docs/design/pipelining.md`.

use std::collections::VecDeque;
use std::error::Error;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::Version;
use http::header::CONNECTION;
use http::header::EXPECT;
use http_body_util::Empty;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use snafu::Snafu;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinError;
use tokio_util::task::AbortOnDropHandle;

use crate::answer_body::AnswerBody;
use crate::answer_stream;
use crate::answer_stream::AnswerStream;
use crate::answer_stream::Closing;
use crate::body_memory::BodyMemory;
use crate::http_server::Arrival;
use crate::http_server::ConnectionLimits;
use crate::http_server::Handler;
use crate::http_server::Stops;
use crate::metric;
use crate::pipeline_io::AnswerBytes;
use crate::pipeline_io::AnswerShape;
use crate::pipeline_io::PendingAnswer;
use crate::pipeline_io::Progress;
use crate::pipeline_io::ProgressState;
use crate::pipeline_io::ReadAheadPermits;
use crate::pipeline_io::Reading;
use crate::pipeline_io::RequestBytes;
use crate::reply;
use crate::request_body;
use crate::request_body::RequestBody;
use crate::request_fault;
use crate::request_fault::RequestFault;

/// Number of requests that one connection may read beyond the first unanswered one. A caller
/// gains nothing from more in flight: the entry VM's share of any service is smaller.
const MAX_READ_AHEAD_PER_CONNECTION: usize = 16;

/// Limit on requests read ahead on all connections of a listener together. With
/// [`MAX_BODY_READ_AHEAD`] and heads of at most 16 KiB it limits the memory for callers that do not
/// wait for answers to 12 MiB.
pub(crate) const MAX_READ_AHEAD_PER_LISTENER: usize = 256;

/// Largest body, in bytes, of a request that may be handled before earlier ones are answered.
/// With larger ones, or those of unknown length, one connection could occupy much memory.
const MAX_BODY_READ_AHEAD: u64 = 32 << 10;

/// Interval of checks whether a caller has disconnected while its connection is not read. Its
/// requests must be cancelled within half a second.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Time for which the remaining bytes of a caller are read after the last answer. Closing a
/// connection with unread bytes resets it, which could lose that answer.
const LINGER: Duration = Duration::from_millis(500);

/// Largest number of bytes that are read from a caller only to be discarded. A caller that sends
/// more is not waiting for its answer.
const MAX_DISCARDED_BYTES: usize = 16 << 20;

/// Size of the buffer for discarded bytes.
const SCRATCH_BYTES: usize = 2_048;

/// Number of reads of discarded bytes after which other tasks run. A read that finds bytes does not
/// yield by itself.
const READS_PER_TURN: usize = 32;

/// Holds the parameters for serving one connection.
#[derive(Debug)]
pub(crate) struct PipelineSetup<H> {
    pub handler: H,
    pub peer: SocketAddr,
    pub limits: ConnectionLimits,
    pub progress: Arc<Progress>,
    pub stops: Stops,
    pub listener_read_ahead: Arc<Semaphore>,
    pub body_memory: BodyMemory,
}

/// Tells why there is no answer to a request.
#[derive(Debug, Snafu)]
enum AnswerError {
    #[snafu(display("the task that handles a request ended early: {source}"))]
    Ended { source: JoinError },
    #[snafu(display("an answer was requested without a pending request"))]
    NoRequest,
}

/// Serves a connection, of which `prefix` was already read, until either side closes it.
pub(crate) async fn serve<H: Handler>(stream: TcpStream, prefix: Bytes, setup: PipelineSetup<H>) {
    let (read_half, write_half) = stream.into_split();
    let read_half = Arc::new(read_half);
    let progress = Arc::clone(&setup.progress);
    let (pending_tx, pending_answers) = mpsc::unbounded_channel();
    let (turn_tx, turn) = watch::channel(0);
    let stream = AnswerStream::new(write_half);
    let answering = answer(pending_answers, stream, turn_tx, &progress);
    let limits = setup.limits;
    let stops = setup.stops.clone();
    let peer = setup.peer;
    let reader = Arc::new(RequestReader {
        setup,
        turn,
        pending_answers: pending_tx.downgrade(),
        ahead: Arc::new(Semaphore::new(MAX_READ_AHEAD_PER_CONNECTION)),
        last_action: Mutex::new(None),
        stream: Arc::clone(&read_half),
    });
    let request_bytes = RequestBytes::new(prefix, Arc::clone(&read_half), Arc::clone(&progress));
    let service = service_fn(move |req| {
        let reader = Arc::clone(&reader);
        // Not inside the future: bytes behind the head may be read before it is polled.
        let head = reader.accept_head(&req);
        async move { Ok::<_, RequestFault>(reader.take(head?, req).await) }
    });
    let reading = http1::Builder::new()
        .max_buf_size(limits.max_header_bytes)
        .serve_connection(TokioIo::new(request_bytes), service);
    let mut reading = std::pin::pin!(reading);
    let mut answering = std::pin::pin!(answering);
    let mut pending_tx = Some(pending_tx);
    let mut shutdown_begun = false;
    let mut rest = DiscardedBytes::new(&read_half);
    let closing = loop {
        tokio::select! {
            biased;
            result = reading.as_mut(), if pending_tx.is_some() => {
                progress.state().reading = Reading::Ended;
                if progress.state().caller_left {
                    return progress.log_end(peer, "the caller closed it");
                }
                if let (Err(error), Some(pending_answers)) = (result, pending_tx.take()) {
                    end_with_fault(&error, &pending_answers, &progress);
                }
            }
            () = rest.until_closed(), if pending_tx.is_none() => {
                return progress.log_end(peer, "the caller closed it after its last request");
            }
            closing = answering.as_mut() => break closing,
            () = shutdown_due(&stops, &progress), if !shutdown_begun => {
                shutdown_begun = true;
                progress.state().ending = true;
                reading.as_mut().graceful_shutdown();
            }
            () = stopped_unused(&stops, &progress), if pending_tx.is_some() => {
                return progress.log_end(peer, "the process is stopping and no request arrived");
            }
            () = timed_out_waiting(&progress, limits) => {
                let is_blocked = progress.state().blocked_since.is_some();
                if !is_blocked {
                    return progress.log_end(peer, "the caller was idle or slow to send a head");
                }
                // The system would otherwise keep what the caller does not read for minutes.
                answer_stream::set_linger(read_half.as_ref().as_ref(), Some(Duration::ZERO));
                return progress.log_end(peer, "the caller did not read its answer");
            }
            () = caller_closed(&read_half, &progress) => {
                return progress.log_end(peer, "the caller closed it with bytes unread");
            }
        }
    };
    // An answer that was cut short has broken the connection; there is no rest to wait for then.
    if closing == Closing::Ordinary {
        let _ = tokio::time::timeout(LINGER, rest.read()).await;
    }
}

/// Answers bytes that are not a valid request with an error status, after the pending answers.
fn end_with_fault(
    error: &hyper::Error,
    pending_answers: &mpsc::UnboundedSender<PendingAnswer>,
    progress: &Progress,
) {
    log::debug!(event = "connection_broken", error:% = error; "a caller sent an invalid request");
    let is_refused = error.source().is_some_and(<dyn Error>::is::<RequestFault>);
    if !error.is_parse() && !is_refused {
        return;
    }
    let status = if error.is_parse_too_large() {
        StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE
    } else {
        StatusCode::BAD_REQUEST
    };
    let number = progress.next_number();
    let handling = tokio::spawn(async move { reply::status(status) });
    let pending = PendingAnswer {
        number,
        shape: AnswerShape::last(),
        handling: AbortOnDropHandle::new(handling),
        _ahead: None,
    };
    // Fails only after the answering half has ended, and the connection with it.
    let _ = pending_answers.send(pending);
}

/// Holds what is recorded about a request when its head was read.
struct AcceptedHead {
    at: Instant,
    /// Whether an earlier request is still unanswered.
    is_behind: bool,
}

/// Reads requests and starts their handling.
struct RequestReader<H> {
    setup: PipelineSetup<H>,
    /// Index of the request whose answer is due.
    turn: watch::Receiver<u64>,
    /// Weak, so that the answering half ends when reading ends.
    pending_answers: mpsc::WeakUnboundedSender<PendingAnswer>,
    ahead: Arc<Semaphore>,
    /// Index of the latest action.
    last_action: Mutex<Option<u64>>,
    stream: Arc<OwnedReadHalf>,
}

impl<H: Handler> RequestReader<H> {
    /// Starts the handling of a request, and waits until its body was read or abandoned. The
    /// returned placeholder answer is discarded; it makes `hyper` read the next request.
    async fn take(&self, head: AcceptedHead, req: Request<Incoming>) -> Response<Empty<Bytes>> {
        let shape = AnswerShape::of(&req);
        let memory = self.setup.body_memory.clone();
        let (req, body_done) = RequestBody::hold(req, memory, Arc::clone(&self.stream));
        let ahead = if head.is_behind {
            self.read_ahead_permits().await
        } else {
            None
        };
        let number = self.setup.progress.next_number();
        let start_turn = self.start_turn(number, &req);
        let arrival = Arrival {
            peer: self.setup.peer,
            at: head.at,
        };
        let handler = self.setup.handler.clone();
        let mut turn = self.turn.clone();
        let handling = tokio::spawn(async move {
            // The sender ends together with the connection, which aborts this task as well.
            let _ = turn.wait_for(|turn| *turn >= start_turn).await;
            handler.handle(arrival, req).await
        });
        let pending = PendingAnswer {
            number,
            shape,
            handling: AbortOnDropHandle::new(handling),
            _ahead: ahead,
        };
        if let Some(pending_answers) = self.pending_answers.upgrade() {
            // Fails only after the answering half has ended, and the connection with it.
            let _ = pending_answers.send(pending);
        }
        // The sender is dropped together with the body.
        let _ = body_done.await;
        let mut state = self.setup.progress.state();
        if state.reading == Reading::Body {
            state.reading = Reading::Heads;
        }
        Response::new(Empty::new())
    }

    /// Records that a head was read, and makes the checks that the HTTP library does not.
    fn accept_head(&self, req: &Request<Incoming>) -> Result<AcceptedHead, RequestFault> {
        let progress = &self.setup.progress;
        let framing = progress.finish_head(req.body().size_hint().exact());
        request_fault::check_framing(framing)?;
        request_fault::check_method(req.method())?;
        request_fault::check_host(req.version(), req.headers())?;
        let mut state = progress.state();
        state.head_since = None;
        state.reading = Reading::Body;
        Ok(AcceptedHead {
            at: state.read_at,
            is_behind: state.unanswered() > 0,
        })
    }

    /// Waits until one more request may be read ahead; `None` only if the process is stopping.
    async fn read_ahead_permits(&self) -> Option<ReadAheadPermits> {
        metric::read_ahead();
        let connection = Arc::clone(&self.ahead).acquire_owned().await.ok()?;
        let listener = Arc::clone(&self.setup.listener_read_ahead);
        let listener = listener.acquire_owned().await.ok()?;
        Some(ReadAheadPermits {
            _connection: connection,
            _listener: listener,
        })
    }

    /// Returns the index of the request whose answer must be due before this request may start.
    fn start_turn(&self, number: u64, req: &Request<RequestBody>) -> u64 {
        let is_action = !self.setup.handler.is_idempotent(req);
        let body = req.body().size_hint().upper();
        let is_large = body.is_none_or(|bytes| bytes > MAX_BODY_READ_AHEAD);
        let last_action = self.last_action.lock();
        let mut last_action = last_action.unwrap_or_else(PoisonError::into_inner);
        if is_action {
            *last_action = Some(number);
        }
        if is_action || is_large || req.headers().contains_key(EXPECT) {
            number
        } else {
            last_action.map_or(0, |action| action + 1)
        }
    }
}

/// Writes the answers in the order of the requests, until no more are due.
///
/// The `hyper` connection that writes them is dropped whenever no request is pending: its
/// buffers take 16 KiB, and most connections are idle most of the time. An entry VM with 350 to
/// 420 open sockets peaked at 13.0 to 15.0 MB with one kept per connection, and at 11.7 to
/// 12.8 MB without.
async fn answer(
    mut pending_answers: mpsc::UnboundedReceiver<PendingAnswer>,
    stream: AnswerStream,
    turn: watch::Sender<u64>,
    progress: &Progress,
) -> Closing {
    let mut keep_open = true;
    while keep_open
        && let Some(half) = stream.half()
        && let Some(first) = pending_answers.recv().await
    {
        progress.state().written = false;
        let turns = Mutex::new(VecDeque::new());
        let bytes = AnswerBytes::new(first, &mut pending_answers, &turns, half, progress);
        let keep_alive = AtomicBool::new(true);
        let service = service_fn(|_head: Request<Incoming>| {
            let mut turns = turns.lock().unwrap_or_else(PoisonError::into_inner);
            let next = turns.pop_front();
            let (turn, keep_alive, stream) = (&turn, &keep_alive, &stream);
            async move {
                let pending = next.ok_or(AnswerError::NoRequest)?;
                turn.send_replace(pending.number);
                let response = await_answer(pending, stream, progress).await?;
                let ends = response.headers().contains_key(CONNECTION);
                keep_alive.store(!ends, Ordering::Relaxed);
                Ok::<_, AnswerError>(response)
            }
        });
        // There may be no further head while an answer is still due.
        let connection = http1::Builder::new()
            .half_close(true)
            .serve_connection(TokioIo::new(bytes), service);
        if let Err(error) = connection.await {
            log::debug!(event = "connection_broken", error:% = error; "a connection broke off");
            return stream.closing();
        }
        stream.note_written();
        progress.state().written = true;
        keep_open = keep_alive.into_inner();
    }
    stream.closing()
}

/// Waits for the answer to a request; on the last one, sets `connection: close`.
///
/// The answer of a backend server bears the version of HTTP that this one speaks. In HTTP/1.0 only
/// the end of the connection would end a body without a length, broken off or not.
async fn await_answer(
    pending: PendingAnswer,
    stream: &AnswerStream,
    progress: &Progress,
) -> Result<Response<AnswerBody>, AnswerError> {
    let handled = pending.handling.await;
    let mut response = handled.map_err(|source| AnswerError::Ended { source })?;
    let ends_by_close = pending.shape.ends_by_close(response.body());
    *response.version_mut() = if ends_by_close {
        stream.begin_unmarked();
        Version::HTTP_10
    } else {
        Version::HTTP_11
    };
    let mut state = progress.state();
    state.answered = pending.number + 1;
    if ends_by_close || state.is_over() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    Ok(response)
}

/// Completes when no further request may be read. An entry VM that is leaving accepts one more
/// request per connection and announces the close with its answer; after the stop signal it
/// accepts none. The stop signal is awaited even after the leaving signal: a connection that was
/// idle then could otherwise accept a request until the process ends and cuts it off.
async fn shutdown_due(stops: &Stops, progress: &Progress) {
    let last_request = async {
        stops.leaving.cancelled().await;
        until(progress, |state| state.unanswered() > 0).await;
    };
    tokio::select! {
        () = stops.stop.cancelled() => {}
        () = last_request => {}
    }
}

/// Waits until the connection is in a state for which `holds` returns true. Polled whenever the
/// task wakes, which every read causes.
async fn until(progress: &Progress, holds: impl Fn(&ProgressState) -> bool) {
    let look = || {
        if holds(&progress.state()) {
            Poll::Ready(())
        } else {
            Poll::Pending
        }
    };
    poll_fn(|_| look()).await;
}

/// Completes a moment after the stop signal if the connection has carried no request. The HTTP
/// library closes connections on which nothing was received, or nothing since an answer, but
/// keeps waiting for the rest of a first head that has begun.
async fn stopped_unused(stops: &Stops, progress: &Progress) {
    stops.stop.cancelled().await;
    // A request that is on its way is still read, and refused with an answer.
    tokio::time::sleep(LINGER).await;
    if progress.state().read > 0 {
        std::future::pending::<()>().await;
    }
}

/// Completes when a caller has exceeded the timeout of a request's head, was idle too long, or has
/// taken nothing of an answer for too long.
///
/// The library polls the body of an answer, and with it its deadline, only while the connection
/// takes bytes.
async fn timed_out_waiting(progress: &Progress, limits: ConnectionLimits) {
    loop {
        let now = progress.now();
        let due = progress.state().due(limits);
        if due.is_some_and(|due| due <= now) {
            return;
        }
        // The first bytes of a head may arrive at any time, and are due sooner than the idle
        // timeout. Each wake-up polls the whole task.
        let look = now + limits.header_timeout;
        let next = due.map_or(look, |due| due.min(look));
        tokio::time::sleep_until(next.into()).await;
    }
}

/// Completes when a caller has closed the connection while bytes from it are unread; a read
/// would report the close only after these bytes.
async fn caller_closed(stream: &OwnedReadHalf, progress: &Progress) {
    loop {
        until(progress, |state| state.reading == Reading::Body).await;
        tokio::time::sleep(CHECK_INTERVAL).await;
        if request_body::is_read_closed(stream) {
            return;
        }
    }
}

/// What a caller still sends when nothing of it is handled any more.
struct DiscardedBytes<'a> {
    stream: &'a OwnedReadHalf,
    /// Number of bytes that may still be read.
    left: usize,
}

impl<'a> DiscardedBytes<'a> {
    const fn new(stream: &'a OwnedReadHalf) -> Self {
        Self {
            stream,
            left: MAX_DISCARDED_BYTES,
        }
    }

    /// Reads and discards until the caller closes its side; waits for ever if it sends too much.
    async fn until_closed(&mut self) {
        self.read().await;
        if self.left == 0 {
            std::future::pending::<()>().await;
        }
    }

    /// Reads and discards until the caller closes its side or has sent too much.
    async fn read(&mut self) {
        let mut scratch = vec![0; SCRATCH_BYTES];
        while self.left > 0 {
            for _ in 0..READS_PER_TURN {
                if self.stream.readable().await.is_err() {
                    return;
                }
                match self.stream.try_read(&mut scratch) {
                    Ok(0) => return,
                    Ok(bytes) => self.left = self.left.saturating_sub(bytes),
                    Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                    Err(_) => return,
                }
            }
            tokio::task::yield_now().await;
        }
    }
}
