//! Which process opened a connection.
//!
//! All processes of a test connect from the same loopback address, so the address
//! doesn't tell them apart; the system's tables of sockets do.

use std::fs;
use std::net::IpAddr;
use std::net::SocketAddr;

const TABLE: &str = "/proc/net/tcp";
/// Column of the table with the socket's own address.
const NEAR_COLUMN: usize = 1;
/// Column of the table with the address of the other end.
const FAR_COLUMN: usize = 2;
/// Column of the table with the socket's inode.
const INODE_COLUMN: usize = 9;

/// The system writes its table out in parts and may skip a row when sockets come and go
/// meanwhile. Its owner would then count as unnamed, and pass a cut.
const ATTEMPTS: usize = 20;

/// Returns which of the processes `pids` holds the end `near` of the connection to `far`.
///
/// The address of one end isn't enough: the system gives one port to several connections
/// that lead to different addresses.
#[must_use]
pub fn find(near: SocketAddr, far: SocketAddr, pids: &[u32]) -> Option<u32> {
    let mut attempts = (0..ATTEMPTS).filter_map(|_| inode(near, far));
    let link = format!("socket:[{}]", attempts.next()?);
    let owner = pids.iter().find(|pid| holds(**pid, &link));
    owner.copied()
}

fn inode(near: SocketAddr, far: SocketAddr) -> Option<String> {
    let near = table_form(near)?;
    let far = table_form(far)?;
    let table = fs::read_to_string(TABLE).ok()?;
    // Most rows belong to other connections, and splitting them all takes long in a large table.
    let mut rows = table
        .lines()
        .filter(|line| line.contains(&near) && line.contains(&far))
        .map(|line| line.split_whitespace().collect::<Vec<_>>());
    let row = rows.find(|row| {
        row.get(NEAR_COLUMN) == Some(&near.as_str()) && row.get(FAR_COLUMN) == Some(&far.as_str())
    })?;
    row.get(INODE_COLUMN).map(ToString::to_string)
}

/// Renders an address as the table does: the bytes of the address as one number of the
/// machine's byte order, in hexadecimal.
fn table_form(address: SocketAddr) -> Option<String> {
    let IpAddr::V4(ip) = address.ip() else {
        return None;
    };
    let number = u32::from_ne_bytes(ip.octets());
    Some(format!("{number:08X}:{:04X}", address.port()))
}

fn holds(pid: u32, link: &str) -> bool {
    let Ok(files) = fs::read_dir(format!("/proc/{pid}/fd")) else {
        return false;
    };
    files
        .flatten()
        .filter_map(|file| fs::read_link(file.path()).ok())
        .any(|target| target.as_os_str() == link)
}
