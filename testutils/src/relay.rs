//! A TCP relay that delays and cuts, controlled while it runs.
//!
//! A cut holds the bytes back rather than closing the connection, as a partition does:
//! neither end learns of it, and what was under way arrives after the cut is mended.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep_until;

const CHUNK: usize = 16 * 1_024;
/// Chunks under way in one direction of one connection.
const CHUNKS_UNDER_WAY: usize = 256;

/// Holds what a relay does to the bytes of new and open connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Link {
    /// Delay of each direction.
    pub delay: Duration,
    /// Whether bytes towards the target are held back.
    pub cut_towards_target: bool,
    /// Whether bytes from the target are held back.
    pub cut_from_target: bool,
}

impl Link {
    /// Returns a link with this delay in each direction.
    #[must_use]
    pub fn delayed(delay: Duration) -> Self {
        Self {
            delay,
            ..Self::default()
        }
    }

    /// Returns this link with both directions cut.
    #[must_use]
    pub const fn cut(self) -> Self {
        Self {
            cut_towards_target: true,
            cut_from_target: true,
            ..self
        }
    }
}

/// Tells why a relay doesn't start.
#[derive(Debug, Snafu)]
pub enum RelayError {
    /// The address can't be used.
    #[snafu(display("a relay can't listen on {address}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
}

/// Relays connections to a target until it is dropped.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    link: watch::Sender<Link>,
    _tasks: JoinSet<()>,
}

#[derive(Clone, Copy)]
enum Direction {
    TowardsTarget,
    FromTarget,
}

impl Direction {
    const fn is_cut(self, link: &Link) -> bool {
        match self {
            Self::TowardsTarget => link.cut_towards_target,
            Self::FromTarget => link.cut_from_target,
        }
    }
}

impl Relay {
    /// Listens on `address` and relays to `target`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be used.
    pub async fn start(
        address: SocketAddr,
        target: SocketAddr,
        link: Link,
    ) -> Result<Self, RelayError> {
        let listener = TcpListener::bind(address).await;
        let listener = listener.context(ListenSnafu { address })?;
        let (link, link_rx) = watch::channel(link);
        let mut tasks = JoinSet::new();
        tasks.spawn(accept(listener, target, link_rx));
        Ok(Self {
            address,
            link,
            _tasks: tasks,
        })
    }

    /// Returns where the relay listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes what happens to bytes from now on.
    pub fn set(&self, link: Link) {
        self.link.send_replace(link);
    }

    /// Changes a part of what happens to bytes from now on.
    pub fn modify(&self, change: impl FnOnce(&mut Link)) {
        self.link.send_modify(change);
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, link: watch::Receiver<Link>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    connections.spawn(relay(stream, target, link.clone()));
                }
            }
            _ = connections.join_next(), if !connections.is_empty() => {}
        }
    }
}

async fn relay(near: TcpStream, target: SocketAddr, link: watch::Receiver<Link>) {
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    tokio::join!(
        pump(near_read, far_write, link.clone(), Direction::TowardsTarget),
        pump(far_read, near_write, link, Direction::FromTarget),
    );
}

async fn pump(
    reader: OwnedReadHalf,
    writer: OwnedWriteHalf,
    link: watch::Receiver<Link>,
    direction: Direction,
) {
    let (tx, rx) = mpsc::channel(CHUNKS_UNDER_WAY);
    tokio::join!(read_all(reader, tx), write_all(writer, rx, link, direction));
}

async fn read_all(mut reader: OwnedReadHalf, tx: mpsc::Sender<(Instant, Bytes)>) {
    let mut buf = vec![0; CHUNK];
    loop {
        let read = tokio::select! {
            read = reader.read(&mut buf) => read,
            () = tx.closed() => return,
        };
        match read {
            Ok(length) if length > 0 => {
                let chunk = Bytes::copy_from_slice(&buf[..length]);
                if tx.send((Instant::now(), chunk)).await.is_err() {
                    return;
                }
            }
            _ => return,
        }
    }
}

async fn write_all(
    mut writer: OwnedWriteHalf,
    mut rx: mpsc::Receiver<(Instant, Bytes)>,
    mut link: watch::Receiver<Link>,
    direction: Direction,
) {
    while let Some((read_at, chunk)) = rx.recv().await {
        let delay = link.borrow().delay;
        sleep_until(read_at + delay).await;
        if link.wait_for(|link| !direction.is_cut(link)).await.is_err() {
            return;
        }
        if writer.write_all(&chunk).await.is_err() {
            return;
        }
    }
    // The end of the stream is delayed and cut like its bytes.
    let delay = link.borrow().delay;
    sleep_until(Instant::now() + delay).await;
    if link.wait_for(|link| !direction.is_cut(link)).await.is_ok() {
        let _ = writer.shutdown().await;
    }
}
