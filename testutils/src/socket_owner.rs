//! Which process opened a connection.
//!
//! All processes of a test connect from the same loopback address, so the address
//! doesn't tell them apart; the system's tables of sockets do.

use std::fs;
use std::net::IpAddr;
use std::net::SocketAddr;

const TABLE: &str = "/proc/net/tcp";
/// Column of the table with the socket's own address.
const ADDRESS_COLUMN: usize = 1;
/// Column of the table with the socket's inode.
const INODE_COLUMN: usize = 9;

/// Returns which of the processes `pids` holds the socket that is bound to `address`.
#[must_use]
pub fn find(address: SocketAddr, pids: &[u32]) -> Option<u32> {
    let link = format!("socket:[{}]", inode(address)?);
    let owner = pids.iter().find(|pid| holds(**pid, &link));
    owner.copied()
}

fn inode(address: SocketAddr) -> Option<String> {
    let wanted = table_form(address)?;
    let table = fs::read_to_string(TABLE).ok()?;
    let mut rows = table
        .lines()
        .map(|line| line.split_whitespace().collect::<Vec<_>>());
    let row = rows.find(|row| row.get(ADDRESS_COLUMN) == Some(&wanted.as_str()))?;
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
