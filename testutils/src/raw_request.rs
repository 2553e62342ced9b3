//! Reads HTTP/1.1 requests as raw text, for stand-ins that write whatever a test needs.

use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// The end of a head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Returns the length of the head that `bytes` begin with; `None` if it is incomplete.
#[must_use]
pub fn head_length(bytes: &[u8]) -> Option<usize> {
    let mut windows = bytes.windows(HEAD_END.len());
    windows
        .position(|part| part == HEAD_END)
        .map(|end| end + HEAD_END.len())
}

/// Returns the path and query of a request.
#[must_use]
pub fn path(head: &str) -> &str {
    head.split(' ').nth(1).unwrap_or_default()
}

/// Returns the value of a header, or an empty text.
#[must_use]
pub fn value<'a>(head: &'a str, name: &str) -> &'a str {
    let mut lines = head.lines().filter_map(|line| line.split_once(':'));
    let found = lines.find(|(key, _)| key.eq_ignore_ascii_case(name));
    found.map_or("", |(_, value)| value.trim())
}

/// Returns the length of the body that a head announces; 0 if it announces none.
#[must_use]
pub fn body_length(head: &str) -> usize {
    value(head, "content-length").parse().unwrap_or(0)
}

/// Reads the head of the next request; `unread` holds what was read beyond it. Returns `None` if
/// the connection ends before.
pub async fn read_head(stream: &mut TcpStream, unread: &mut Vec<u8>) -> Option<String> {
    loop {
        if let Some(length) = head_length(unread) {
            let head: Vec<u8> = unread.drain(..length).collect();
            return Some(String::from_utf8_lossy(&head).into_owned());
        }
        read_more(stream, unread).await?;
    }
}

/// Reads and drops the rest of a body of which `left` bytes are to come. Returns `None` if the
/// connection ends before.
pub async fn skip_body(
    stream: &mut TcpStream,
    unread: &mut Vec<u8>,
    left: &mut usize,
) -> Option<()> {
    while *left > 0 {
        if unread.is_empty() {
            read_more(stream, unread).await?;
        }
        let read = unread.len().min(*left);
        unread.drain(..read);
        *left -= read;
    }
    Some(())
}

async fn read_more(stream: &mut TcpStream, unread: &mut Vec<u8>) -> Option<()> {
    let read = stream.read_buf(unread).await.ok()?;
    (read > 0).then_some(())
}
