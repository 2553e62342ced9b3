//! Answers by the way in which they give the end of their body.

/// Length of a body that is not read as a whole before its head is passed on.
const LONG: usize = 70 << 10;

/// How an answer gives the end of its body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Form {
    LengthFirst,
    LengthLast,
    BareLf,
    /// A length that is passed on as it arrives.
    LongLength,
    Chunks,
    /// Chunks with extensions.
    Extensions,
    /// Chunks with trailers.
    Trailers,
    /// The end of the connection, which the head announces.
    Close,
    /// The same, of an older version of HTTP.
    OldClose,
    /// The end of the connection, which the head does not announce.
    Unannounced,
    /// The end of the connection, behind an encoding that does not show its own end.
    Encoded,
    /// A length, behind an interim answer.
    Continue,
    /// A length, behind an interim answer with a header.
    EarlyHints,
    /// No body.
    NoContent,
    /// No body, although the head has a length.
    NotModified,
}

impl Form {
    pub const ALL: [Self; 15] = [
        Self::LengthFirst,
        Self::LengthLast,
        Self::BareLf,
        Self::LongLength,
        Self::Chunks,
        Self::Extensions,
        Self::Trailers,
        Self::Close,
        Self::OldClose,
        Self::Unannounced,
        Self::Encoded,
        Self::Continue,
        Self::EarlyHints,
        Self::NoContent,
        Self::NotModified,
    ];

    /// Returns whether the end of the connection is the end of the body.
    pub const fn ends_with_connection(self) -> bool {
        matches!(
            self,
            Self::Close | Self::OldClose | Self::Unannounced | Self::Encoded
        )
    }

    /// Returns whether it does not tell where the body ends, so that there is no answer.
    pub const fn is_refused(self, is_to_head: bool) -> bool {
        match self {
            Self::Unannounced => !is_to_head,
            Self::Encoded => true,
            _ => false,
        }
    }

    const fn status(self) -> &'static str {
        match self {
            Self::NoContent => "204 No Content",
            Self::NotModified => "304 Not Modified",
            _ => "200 OK",
        }
    }

    /// Returns the body of the answer to the request with this key.
    pub fn body(self, key: &str) -> String {
        let text = format!("body of {key}, and then some");
        match self {
            Self::NoContent | Self::NotModified => String::new(),
            Self::LongLength => text.clone() + &"x".repeat(LONG - text.len()),
            _ => text,
        }
    }

    /// Returns the whole answer to the request with this key. `lines` are header lines that it has
    /// to bear.
    pub fn answer(self, key: &str, lines: &str, is_head: bool) -> WholeAnswer {
        let body = self.body(key);
        let framing = match self {
            Self::Chunks | Self::Extensions => "transfer-encoding: chunked\r\n".to_owned(),
            Self::Trailers => "trailer: x-sum\r\ntransfer-encoding: chunked\r\n".to_owned(),
            Self::Encoded => "transfer-encoding: gzip\r\n".to_owned(),
            Self::Close => "connection: close\r\n".to_owned(),
            Self::OldClose | Self::Unannounced | Self::NoContent => String::new(),
            Self::NotModified => "content-length: 12\r\n".to_owned(),
            _ => format!("content-length: {}\r\n", body.len()),
        };
        let lines = if self == Self::LengthLast {
            format!("{lines}{framing}")
        } else {
            format!("{framing}{lines}")
        };
        let interim = match self {
            Self::Continue => "HTTP/1.1 100 Continue\r\n\r\n",
            Self::EarlyHints => "HTTP/1.1 103 Early Hints\r\nlink: </x>\r\n\r\n",
            _ => "",
        };
        let version = if self == Self::OldClose { "1.0" } else { "1.1" };
        let status = self.status();
        let mut head = format!("{interim}HTTP/{version} {status}\r\n{lines}\r\n");
        if self == Self::BareLf {
            head = head.replace('\r', "");
        }
        let sent = if is_head { "" } else { &body };
        WholeAnswer {
            head: head.len(),
            bytes: (head + &self.encode(sent)).into_bytes(),
        }
    }

    fn encode(self, body: &str) -> String {
        let extension = if self == Self::Extensions { ";a=b" } else { "" };
        let trailers = if self == Self::Trailers {
            "x-sum: 12\r\n"
        } else {
            ""
        };
        match self {
            Self::Chunks | Self::Extensions | Self::Trailers if !body.is_empty() => {
                // The first chunk's size is more than one digit long.
                let (first, second) = body.split_at(17);
                let chunk = |part: &str| format!("{:x}{extension}\r\n{part}\r\n", part.len());
                let (first, second) = (chunk(first), chunk(second));
                format!("{first}{second}0{extension}\r\n{trailers}\r\n")
            }
            _ => body.to_owned(),
        }
    }
}

/// The bytes of an answer.
#[derive(Clone, Debug)]
pub struct WholeAnswer {
    /// Length of the head, with interim answers.
    pub head: usize,
    pub bytes: Vec<u8>,
}

impl WholeAnswer {
    /// Returns where to cut it: at each byte of its head and of a short body, and at a few of a long
    /// one.
    pub fn cuts(&self) -> Vec<usize> {
        let whole = self.bytes.len();
        let dense = whole.min(self.head + 120);
        let sparse = (dense..whole).step_by(9_973);
        (0..dense).chain(sparse).chain([whole]).collect()
    }

    /// Returns where to cut it: about the end of its head and of itself, and at a few other bytes.
    pub fn main_cuts(&self) -> Vec<usize> {
        let is_near = |at: &usize, end: usize| end.saturating_sub(6) < *at && *at <= end + 3;
        let mut cuts = self.cuts();
        cuts.retain(|at| {
            at.is_multiple_of(16) || is_near(at, self.head) || is_near(at, self.bytes.len())
        });
        cuts
    }

    /// Returns where to cut it: at the places that differ most.
    pub fn few_cuts(&self) -> Vec<usize> {
        let whole = self.bytes.len();
        let cuts = [self.head - 1, self.head + 10, whole - 1, whole];
        let mut cuts = cuts.map(|at| at.min(whole)).to_vec();
        cuts.dedup();
        cuts
    }
}
