//! A minimal HTTP/1.1 connection over blocking sockets.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// Largest head that a stand-in reads.
const MAX_HEAD_BYTES: usize = 256 << 10;

/// A message: its first line, its header fields and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the method and the target of a request.
    pub fn target(&self) -> (&str, &str) {
        let mut words = self.first_line.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }

    /// Returns the status of an answer; 0 if it has none.
    pub fn status(&self) -> u16 {
        let code = self.first_line.split(' ').nth(1);
        code.and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    fn is_chunked(&self) -> bool {
        let encoding = self.header("transfer-encoding");
        encoding.is_some_and(|encoding| encoding.eq_ignore_ascii_case("chunked"))
    }
}

/// A connection with the bytes that were read ahead.
pub struct Connection {
    pub stream: TcpStream,
    unread: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        // A delayed segment would only add latency.
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            unread: Vec::new(),
        }
    }

    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&address, timeout)?))
    }

    /// Reads until `needed` bytes are there; false at the end of the stream.
    fn fill(&mut self, needed: usize) -> io::Result<bool> {
        let mut buf = [0; 16 << 10];
        while self.unread.len() < needed {
            let read = self.stream.read(&mut buf)?;
            if read == 0 {
                return Ok(false);
            }
            self.unread.extend_from_slice(&buf[..read]);
        }
        Ok(true)
    }

    fn take(&mut self, count: usize) -> Vec<u8> {
        let rest = self.unread.split_off(count);
        std::mem::replace(&mut self.unread, rest)
    }

    fn line(&mut self) -> io::Result<String> {
        let mut searched = 0;
        loop {
            if let Some(at) = self.unread[searched..]
                .windows(2)
                .position(|w| w == b"\r\n")
            {
                let mut line = self.take(searched + at + 2);
                line.truncate(searched + at);
                return Ok(String::from_utf8_lossy(&line).into_owned());
            }
            searched = self.unread.len().saturating_sub(1);
            if self.unread.len() > MAX_HEAD_BYTES || !self.fill(self.unread.len() + 1)? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads the head of a message.
    pub fn read_head(&mut self) -> io::Result<Message> {
        let mut message = Message {
            first_line: self.line()?,
            ..Message::default()
        };
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Ok(message);
            }
            let (name, value) = line.split_once(':').unwrap_or((&line, ""));
            let field = (name.to_owned(), value.trim().to_owned());
            message.headers.push(field);
        }
    }

    /// Reads the body that a head announces. Without a length, an answer (`to_end`) ends with the
    /// connection.
    pub fn read_body(&mut self, head: &mut Message, to_end: bool) -> io::Result<()> {
        let ended = || io::Error::from(io::ErrorKind::UnexpectedEof);
        if head.is_chunked() {
            loop {
                let size = self.line()?;
                let size = usize::from_str_radix(size.trim(), 16).map_err(io::Error::other)?;
                if !self.fill(size + 2)? {
                    return Err(ended());
                }
                let mut chunk = self.take(size + 2);
                chunk.truncate(size);
                head.body.extend(chunk);
                if size == 0 {
                    return Ok(());
                }
            }
        }
        let length = head
            .header("content-length")
            .and_then(|text| text.parse().ok());
        match length {
            Some(length) => {
                if !self.fill(length)? {
                    return Err(ended());
                }
                head.body = self.take(length);
            }
            None if to_end => {
                while self.fill(self.unread.len() + 1)? {}
                head.body = std::mem::take(&mut self.unread);
            }
            None => {}
        }
        Ok(())
    }

    pub fn read_request(&mut self) -> io::Result<Message> {
        let mut request = self.read_head()?;
        self.read_body(&mut request, false)?;
        Ok(request)
    }

    pub fn read_answer(&mut self) -> io::Result<Message> {
        let mut answer = self.read_head()?;
        self.read_body(&mut answer, true)?;
        Ok(answer)
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

/// Formats a message with the length of its body.
pub fn format(first_line: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{first_line}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("content-length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Sends one request on a new connection and returns the answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> io::Result<Message> {
    let mut connection = Connection::open(address, timeout)?;
    connection.stream.set_read_timeout(Some(timeout))?;
    let host = address.to_string();
    let headers = [
        ("host", host.as_str()),
        ("content-type", "application/json"),
        ("connection", "close"),
    ];
    connection.write(&format(
        &format!("{method} {path} HTTP/1.1"),
        &headers,
        body.as_bytes(),
    ))?;
    connection.read_answer()
}
