//! A TCP relay that delays and cuts, controlled while it runs.
//!
//! A cut holds the bytes back rather than closing the connection, as a partition does:
//! neither end learns of it, and what was under way arrives after the cut is mended.

use std::collections::BTreeMap;
use std::io;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use rustix::net::sockopt;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep_until;

use crate::socket_owner;

const CHUNK: usize = 16 * 1_024;
/// Chunks under way in one direction of one connection.
const CHUNKS_UNDER_WAY: usize = 256;
/// Like [`CHUNKS_UNDER_WAY`], for a connection whose rate is limited.
const RATED_CHUNKS_UNDER_WAY: usize = 2;

/// Send buffer of a relay's connection whose rate is limited, in bytes. What the system holds
/// there has crossed the link already, so it must not hide what the receiver leaves unread.
const RATED_SEND_BUFFER: usize = 4 * 1_024;

/// The network link of one VM: in each direction, the bytes of all its connections cross it one
/// after the other.
#[derive(Debug)]
pub struct VmLink {
    bytes_per_second: f64,
    /// When the last byte so far has crossed it, towards the VM and from it.
    free_at: [Mutex<Instant>; 2],
}

impl VmLink {
    /// Creates an idle link.
    #[must_use]
    pub fn new(bytes_per_second: f64) -> Arc<Self> {
        let now = Instant::now();
        Arc::new(Self {
            bytes_per_second,
            free_at: [Mutex::new(now), Mutex::new(now)],
        })
    }

    /// Waits until `bytes` have crossed the link.
    async fn carry(&self, towards_vm: bool, bytes: usize) {
        #[expect(clippy::cast_precision_loss, reason = "a chunk")]
        let time = Duration::from_secs_f64(bytes as f64 / self.bytes_per_second);
        let crossed_at = {
            let free_at = &self.free_at[usize::from(towards_vm)];
            let mut free_at = free_at.lock().unwrap_or_else(PoisonError::into_inner);
            *free_at = (*free_at).max(Instant::now()) + time;
            *free_at
        };
        sleep_until(crossed_at).await;
    }
}

/// The end of a relay's connections that is behind a [`VmLink`].
#[derive(Clone, Debug)]
pub enum BehindLink {
    /// Whoever connects to the relay.
    Source(Arc<VmLink>),
    /// The target.
    Target(Arc<VmLink>),
}

impl BehindLink {
    async fn carry(&self, direction: Direction, bytes: usize) {
        match (self, direction) {
            (Self::Source(link), Direction::TowardsTarget)
            | (Self::Target(link), Direction::FromTarget) => link.carry(false, bytes).await,
            (Self::Source(link), Direction::FromTarget)
            | (Self::Target(link), Direction::TowardsTarget) => link.carry(true, bytes).await,
        }
    }
}

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

/// Tells who opened a connection.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Source {
    /// Whoever connects from this address.
    Address(IpAddr),
    /// The process with this name, whatever it connects from.
    Process(String),
}

/// Holds the links of one relay: that of each source that was set apart, and that of
/// all others.
#[derive(Clone, Debug, Default)]
pub struct Links {
    /// The link of sources that aren't set apart.
    pub others: Link,
    /// The links of those that are.
    pub by_source: BTreeMap<Source, Link>,
}

impl Links {
    fn of(&self, source: &Source) -> &Link {
        self.by_source.get(source).unwrap_or(&self.others)
    }
}

/// Names processes by their identifiers and by the addresses that they may connect from.
#[derive(Clone, Debug, Default)]
pub struct ProcessNames {
    /// Names by identifier of the process.
    pub by_pid: BTreeMap<u32, String>,
    /// Names by address of the process's VM.
    pub by_address: BTreeMap<IpAddr, String>,
}

/// Relays connections to a target until it is dropped.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    links: watch::Sender<Links>,
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
        let (_, no_names) = watch::channel(ProcessNames::default());
        Self::start_for_processes(address, target, link, no_names).await
    }

    /// Listens on `address` and relays to `target` over the link of a VM.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be used.
    pub async fn start_over(
        address: SocketAddr,
        target: SocketAddr,
        link: Link,
        behind: BehindLink,
    ) -> Result<Self, RelayError> {
        let (_, no_names) = watch::channel(ProcessNames::default());
        Self::start_with(address, target, link, no_names, Some(behind)).await
    }

    /// Listens on `address` and relays to `target`; tells the processes in `names` apart.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be used.
    pub async fn start_for_processes(
        address: SocketAddr,
        target: SocketAddr,
        link: Link,
        names: watch::Receiver<ProcessNames>,
    ) -> Result<Self, RelayError> {
        Self::start_with(address, target, link, names, None).await
    }

    async fn start_with(
        address: SocketAddr,
        target: SocketAddr,
        link: Link,
        names: watch::Receiver<ProcessNames>,
        behind: Option<BehindLink>,
    ) -> Result<Self, RelayError> {
        let listener = TcpListener::bind(address).await;
        let listener = listener.context(ListenSnafu { address })?;
        let (links, links_rx) = watch::channel(Links {
            others: link,
            by_source: BTreeMap::new(),
        });
        let mut tasks = JoinSet::new();
        tasks.spawn(accept(listener, target, links_rx, names, behind));
        Ok(Self {
            address,
            links,
            _tasks: tasks,
        })
    }

    /// Returns where the relay listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes what happens to bytes from now on, whichever source connects.
    pub fn set(&self, link: Link) {
        self.set_links(Links {
            others: link,
            by_source: BTreeMap::new(),
        });
    }

    /// Changes what happens to bytes from now on, for each source.
    pub fn set_links(&self, links: Links) {
        self.links.send_replace(links);
    }

    /// Changes what happens to bytes of connections from `source` from now on.
    pub fn set_from(&self, source: IpAddr, link: Link) {
        self.links.send_modify(|links| {
            links.by_source.insert(Source::Address(source), link);
        });
    }

    /// Changes a part of what happens to bytes from now on, except of sources that were
    /// set apart.
    pub fn modify(&self, change: impl FnOnce(&mut Link)) {
        self.links.send_modify(|links| change(&mut links.others));
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    links: watch::Receiver<Links>,
    names: watch::Receiver<ProcessNames>,
    behind: Option<BehindLink>,
) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, peer)) = accepted
                    && let Ok(own) = stream.local_addr()
                {
                    let links = links.clone();
                    let names = names.borrow().clone();
                    let behind = behind.clone();
                    connections.spawn(async move {
                        let source = find_source(peer, own, names).await;
                        let path = Path {
                            source,
                            links,
                            behind,
                        };
                        relay(stream, target, path).await;
                    });
                }
            }
            _ = connections.join_next(), if !connections.is_empty() => {}
        }
    }
}

/// Limits the searches for the processes behind connections that run at the same time.
static SEARCHES: Semaphore = Semaphore::const_new(4);

async fn find_source(peer: SocketAddr, own: SocketAddr, names: ProcessNames) -> Source {
    // Some connections of a process leave from its VM's address, the others from one that
    // the system chooses. Callers bind addresses of their own; they are hundreds, for
    // whom the search through all processes' files is too slow.
    if let Some(name) = names.by_address.get(&peer.ip()) {
        return Source::Process(name.clone());
    }
    if peer.ip() != IpAddr::V4(Ipv4Addr::LOCALHOST) {
        return Source::Address(peer.ip());
    }
    // The search reads the system's table of connections, which takes longer the more there are.
    let Ok(_permit) = SEARCHES.acquire().await else {
        return Source::Address(peer.ip());
    };
    let search = tokio::task::spawn_blocking(move || {
        let pids: Vec<_> = names.by_pid.keys().copied().collect();
        let pid = socket_owner::find(peer, own, &pids)?;
        names.by_pid.get(&pid).cloned()
    });
    let name = search.await.ok().flatten();
    name.map_or(Source::Address(peer.ip()), Source::Process)
}

/// Follows the link of one connection.
#[derive(Clone, Debug)]
struct Path {
    source: Source,
    links: watch::Receiver<Links>,
    behind: Option<BehindLink>,
}

impl Path {
    fn delay(&self) -> Duration {
        self.links.borrow().of(&self.source).delay
    }

    /// Waits until bytes may pass. Returns whether the relay still exists.
    async fn open(&mut self, direction: Direction) -> bool {
        let source = &self.source;
        let passes = |links: &Links| !direction.is_cut(links.of(source));
        self.links.wait_for(passes).await.is_ok()
    }
}

/// Connects to `target` from the address of whoever connected to the relay, since
/// callers are told apart by it.
async fn connect_for(near: &TcpStream, target: SocketAddr) -> io::Result<TcpStream> {
    let source = near.peer_addr()?.ip();
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::new(source, 0))?;
    socket.connect(target).await
}

async fn relay(mut near: TcpStream, target: SocketAddr, mut path: Path) {
    let Ok(far) = connect_for(&near, target).await else {
        // A cut holds the refusal back, too.
        let mut unread = tokio::io::sink();
        tokio::select! {
            _ = path.open(Direction::FromTarget) => {}
            _ = tokio::io::copy(&mut near, &mut unread) => {}
        }
        return;
    };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    if path.behind.is_some() {
        for stream in [&near, &far] {
            let _ = sockopt::set_socket_send_buffer_size(stream, RATED_SEND_BUFFER);
        }
    }
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    tokio::join!(
        pump(near_read, far_write, path.clone(), Direction::TowardsTarget),
        pump(far_read, near_write, path, Direction::FromTarget),
    );
}

async fn pump(reader: OwnedReadHalf, writer: OwnedWriteHalf, path: Path, direction: Direction) {
    let chunks = if path.behind.is_some() {
        RATED_CHUNKS_UNDER_WAY
    } else {
        CHUNKS_UNDER_WAY
    };
    let (tx, rx) = mpsc::channel(chunks);
    tokio::join!(read_all(reader, tx), write_all(writer, rx, path, direction));
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
    mut path: Path,
    direction: Direction,
) {
    while let Some((read_at, chunk)) = rx.recv().await {
        sleep_until(read_at + path.delay()).await;
        if !path.open(direction).await {
            return;
        }
        if let Some(behind) = &path.behind {
            behind.carry(direction, chunk.len()).await;
        }
        if writer.write_all(&chunk).await.is_err() {
            return;
        }
    }
    // The end of the stream is delayed and cut like its bytes.
    sleep_until(Instant::now() + path.delay()).await;
    if path.open(direction).await {
        let _ = writer.shutdown().await;
    }
}
