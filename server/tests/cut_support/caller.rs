//! Callers that take an answer for complete only if its own framing says so.

use std::net::SocketAddr;
use std::time::Duration;

use heatherring_testutils::raw_request;
use heatherring_testutils::raw_request::head_length;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Bound on the time for one answer.
const TIMEOUT: Duration = Duration::from_secs(20);

/// How a connection ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ended {
    Closed,
    Reset,
    /// It did not, and nothing more arrived.
    Never,
}

/// What a caller has seen of an answer.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// Its status; 0 without a whole head.
    pub status: u16,
    pub body: Vec<u8>,
    pub is_complete: bool,
    /// Whether it goes on for ever.
    pub is_endless: bool,
}

impl Seen {
    pub fn text(&self) -> String {
        let shown = self.body.len().min(120);
        String::from_utf8_lossy(&self.body[..shown]).into_owned()
    }
}

/// A connection of a caller.
pub struct Caller {
    stream: TcpStream,
    unread: Vec<u8>,
    ended: Option<Ended>,
}

impl Caller {
    pub async fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).await.unwrap();
        stream.set_nodelay(true).unwrap();
        Self {
            stream,
            unread: Vec::new(),
            ended: None,
        }
    }

    /// Sends bytes, of which the entry VM may read only a part.
    pub async fn send(&mut self, bytes: &[u8]) {
        let _ = self.stream.write_all(bytes).await;
    }

    /// Reads the next answer as far as it goes.
    pub async fn read(&mut self, is_head: bool) -> Seen {
        loop {
            if let Some((seen, taken)) = parse(&self.unread, self.ended, is_head) {
                self.unread.drain(..taken);
                return seen;
            }
            self.read_more().await;
        }
    }

    /// Waits until a text has arrived.
    pub async fn until(&mut self, text: &str) {
        let is_there = |unread: &[u8]| String::from_utf8_lossy(unread).contains(text);
        while !is_there(&self.unread) && self.ended.is_none() {
            self.read_more().await;
        }
        assert!(is_there(&self.unread), "{text} did not arrive");
    }

    async fn read_more(&mut self) {
        let reading = self.stream.read_buf(&mut self.unread);
        let read = tokio::time::timeout(TIMEOUT, reading).await;
        match read {
            Ok(Ok(0)) => self.ended = Some(Ended::Closed),
            Ok(Ok(_)) => {}
            Ok(Err(_)) => self.ended = Some(Ended::Reset),
            Err(_) => self.ended = Some(Ended::Never),
        }
    }
}

/// Returns the answer that `bytes` begin with, and its length; `None` if more may arrive.
fn parse(bytes: &[u8], ended: Option<Ended>, is_head: bool) -> Option<(Seen, usize)> {
    let Some(start) = head_length(bytes) else {
        let is_endless = ended == Some(Ended::Never);
        let seen = Seen {
            is_endless,
            ..Seen::default()
        };
        return ended.map(|_| (seen, bytes.len()));
    };
    let head = String::from_utf8_lossy(&bytes[..start]).into_owned();
    let status: u16 = head.split(' ').nth(1)?.parse().unwrap_or(0);
    if (100..200).contains(&status) {
        let (seen, taken) = parse(&bytes[start..], ended, is_head)?;
        return Some((seen, start + taken));
    }
    let rest = &bytes[start..];
    let content = if is_head || matches!(status, 204 | 304) {
        Content::whole(&[], 0)
    } else if raw_request::value(&head, "transfer-encoding") == "chunked" {
        chunked(rest)
    } else if let Ok(length) = raw_request::value(&head, "content-length").parse::<usize>() {
        let body = &rest[..rest.len().min(length)];
        Content {
            is_whole: body.len() == length,
            ..Content::whole(body, body.len())
        }
    } else {
        Content {
            is_whole: ended == Some(Ended::Closed),
            ..Content::whole(rest, rest.len())
        }
    };
    if !content.is_whole && ended.is_none() {
        return None;
    }
    let seen = Seen {
        status,
        body: content.body,
        is_complete: content.is_whole,
        is_endless: ended == Some(Ended::Never),
    };
    Some((seen, start + content.taken))
}

struct Content {
    body: Vec<u8>,
    taken: usize,
    is_whole: bool,
}

impl Content {
    fn whole(body: &[u8], taken: usize) -> Self {
        Self {
            body: body.to_vec(),
            taken,
            is_whole: true,
        }
    }
}

/// Decodes a body in chunks as far as it goes.
fn chunked(bytes: &[u8]) -> Content {
    let mut content = Content::whole(&[], 0);
    loop {
        content.is_whole = false;
        let rest = &bytes[content.taken..];
        let Some(line) = rest.windows(2).position(|end| end == b"\r\n") else {
            return content;
        };
        let size = String::from_utf8_lossy(&rest[..line]);
        let size = size.split(';').next().unwrap_or_default();
        let size = usize::from_str_radix(size, 16).expect("a size");
        if size == 0 {
            let end = rest.windows(4).position(|end| end == b"\r\n\r\n");
            content.is_whole = end.is_some();
            content.taken += end.map_or(rest.len(), |end| end + 4);
            return content;
        }
        let data = &rest[line + 2..];
        let taken = data.len().min(size);
        content.body.extend_from_slice(&data[..taken]);
        if data.len() < size + 2 {
            return content;
        }
        content.taken += line + 2 + size + 2;
    }
}
