//! A minimal HTTP/1.1 client, and the reading of messages for the stand-in servers.

use std::io::Error;
use std::io::ErrorKind;
use std::io::Read;
use std::io::Result;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

/// A request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub first: String,
    /// The header fields, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// The whole body.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a header field.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the status of an answer.
    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Returns the method and the path of a request.
    pub fn target(&self) -> (&str, &str) {
        let mut parts = self.first.split(' ');
        (parts.next().unwrap_or(""), parts.next().unwrap_or(""))
    }
}

/// A connection on which messages are read.
#[derive(Debug)]
pub struct Conn {
    pub stream: TcpStream,
    unread: Vec<u8>,
}

impl Conn {
    /// Wraps a stream.
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            unread: Vec::new(),
        }
    }

    /// Opens a connection.
    pub fn open(address: SocketAddr, timeout: Duration) -> Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&address, timeout)?))
    }

    /// Writes bytes.
    pub fn write(&mut self, bytes: &[u8]) -> Result<()> {
        self.stream.write_all(bytes)
    }

    fn fill(&mut self) -> Result<usize> {
        let mut part = [0; 16 << 10];
        let count = self.stream.read(&mut part)?;
        self.unread.extend_from_slice(&part[..count]);
        Ok(count)
    }

    fn line(&mut self) -> Result<String> {
        loop {
            if let Some(end) = self.unread.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.unread.drain(..=end).collect();
                return Ok(String::from_utf8_lossy(&line).trim_end().to_owned());
            }
            if self.fill()? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn take(&mut self, count: usize) -> Result<Vec<u8>> {
        while self.unread.len() < count {
            if self.fill()? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.unread.drain(..count).collect())
    }

    /// Reads a whole message. Interim answers are skipped.
    pub fn read(&mut self) -> Result<Message> {
        loop {
            let mut message = self.head()?;
            if (100..200).contains(&message.status()) {
                continue;
            }
            message.body = self.body(&message)?;
            return Ok(message);
        }
    }

    fn head(&mut self) -> Result<Message> {
        let mut message = Message {
            first: self.line()?,
            ..Message::default()
        };
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Ok(message);
            }
            let Some((name, value)) = line.split_once(':') else {
                return Err(Error::other("a header without a colon"));
            };
            let field = (name.to_ascii_lowercase(), value.trim().to_owned());
            message.headers.push(field);
        }
    }

    fn body(&mut self, message: &Message) -> Result<Vec<u8>> {
        let chunked = message.header("transfer-encoding") == Some("chunked");
        if chunked {
            let mut body = Vec::new();
            loop {
                let size = usize::from_str_radix(&self.line()?, 16).map_err(Error::other)?;
                body.extend(self.take(size)?);
                self.line()?;
                if size == 0 {
                    return Ok(body);
                }
            }
        }
        let length = message.header("content-length");
        let length = length.map_or(Ok(0), str::parse).map_err(Error::other)?;
        self.take(length)
    }
}

/// Sends one request on a new connection and reads its answer, within `timeout` in all.
pub fn call(
    address: SocketAddr,
    first: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> Result<Message> {
    let begun = Instant::now();
    let mut conn = Conn::open(address, timeout)?;
    let left = timeout
        .saturating_sub(begun.elapsed())
        .max(Duration::from_millis(1));
    conn.stream.set_read_timeout(Some(left))?;
    conn.stream.set_write_timeout(Some(left))?;
    conn.write(&request(first, headers, body, address))?;
    conn.read()
}

/// Writes a request. `Host` is the address unless `headers` name one.
pub fn request(first: &str, headers: &[(&str, &str)], body: &[u8], address: SocketAddr) -> Vec<u8> {
    let mut text = format!("{first} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| *name == "Host") {
        text += &format!("Host: {address}\r\n");
    }
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() || first.starts_with('P') {
        text += &format!("Content-Length: {}\r\n", body.len());
    }
    text += "\r\n";
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
