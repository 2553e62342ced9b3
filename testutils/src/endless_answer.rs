//! Answers that go on until their connection is closed.

use std::convert::Infallible;
use std::io;

use bytes::Bytes;
use http::Response;
use http_body_util::Full;
use snafu::Snafu;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;

use crate::answer_fault::EndlessPart;
use crate::raw_answer;

/// Bytes that are written at once, at least.
const BLOCK_BYTES: usize = 64 << 10;
/// Length that a body without end claims to have.
const CLAIMED_LENGTH: &str = "content-length: 1000000000000";
const CHUNKED: &str = "transfer-encoding: chunked";
const INTERIM: &[u8] = b"HTTP/1.1 102 Processing\r\n\r\n";
const HEADER_LINE: &[u8] = b"x-filler: 0123456789abcdef0123456789abcdef\r\n";
const CHUNK: &[u8] = b"20\r\n0123456789abcdef0123456789abcdef\r\n";
const FILLER: &[u8] = b"0123456789abcdef";
const NO_HTTP: &[u8] = b"\x00\xfeno http\xff";

/// Holds an answer without end. It is the error by which a connection is taken from the HTTP
/// library, which couldn't write it.
#[derive(Clone, Debug, Snafu)]
#[snafu(display("an answer without end"))]
pub(crate) struct EndlessAnswer {
    opening: Bytes,
    block: Bytes,
}

impl EndlessAnswer {
    /// Makes an answer endless.
    pub async fn new(response: &Response<Full<Bytes>>, part: EndlessPart) -> Self {
        let (opening, unit) = match part {
            EndlessPart::Head => (raw_answer::head(response, CLAIMED_LENGTH), HEADER_LINE),
            EndlessPart::Interim => (Vec::new(), INTERIM),
            EndlessPart::Body | EndlessPart::RefusalBody => {
                let head = raw_answer::head(response, CLAIMED_LENGTH);
                let body = raw_answer::body(response).await;
                ([&head, b"\r\n".as_slice(), &body].concat(), FILLER)
            }
            EndlessPart::Chunks => (chunked(response, b""), CHUNK),
            EndlessPart::ChunkExtension => (chunked(response, b"20;filler="), FILLER),
            EndlessPart::Trailers => {
                let last = [CHUNK, b"0\r\n"].concat();
                (chunked(response, &last), HEADER_LINE)
            }
            EndlessPart::Rest => (raw_answer::whole(response).await.into(), FILLER),
            EndlessPart::Rubbish => (Vec::new(), NO_HTTP),
        };
        Self {
            opening: opening.into(),
            block: unit.repeat(BLOCK_BYTES.div_ceil(unit.len())).into(),
        }
    }

    /// Writes the answer until that fails.
    ///
    /// # Errors
    ///
    /// Returns what the connection said when it took no more bytes.
    pub async fn write(&self, stream: &mut (impl AsyncWrite + Unpin)) -> io::Result<Infallible> {
        stream.write_all(&self.opening).await?;
        loop {
            stream.write_all(&self.block).await?;
        }
    }
}

fn chunked<T>(response: &Response<T>, opening: &[u8]) -> Vec<u8> {
    let head = raw_answer::head(response, CHUNKED);
    [&head, b"\r\n".as_slice(), opening].concat()
}
