//! Loopback addresses of a test's VMs.
//!
//! Each claim is a block `127.a.b.0/24`, chosen from the process id, so that tests that
//! run at the same time never meet. Ports are fixed and below the range from which the
//! system draws ports for outgoing connections; otherwise such a connection could take
//! the port of a VM between its stop and its restart.

use std::io;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use snafu::Snafu;

/// Port of a control replica.
pub const CONTROL_PORT: u16 = 7_101;
/// Port of an entry VM for callers.
pub const CALLERS_PORT: u16 = 7_201;
/// Port of an entry VM for announcements.
pub const BACKEND_SERVERS_PORT: u16 = 7_202;
/// Port of an entry VM for messages of other entry VMs.
pub const PEERS_PORT: u16 = 7_203;
/// Port of an entry VM for forwarded requests.
pub const FORWARD_PORT: u16 = 7_204;
/// Port of a fake backend server.
pub const SERVICE_PORT: u16 = 7_301;
/// First port of relays, at the block's relay address.
pub const FIRST_RELAY_PORT: u16 = 8_000;

/// A listener on this port at the block's first address marks the block as taken.
const CLAIM_PORT: u16 = 7_000;
const CLAIM_HOST: u8 = 1;
const RELAY_HOST: u8 = 2;
const FIRST_VM_HOST: u8 = 3;
const FIRST_CALLER_HOST: u8 = 160;
/// Callers of one place share a block with this prefix length.
pub const CALLER_PREFIX_LENGTH: u8 = 29;
const CALLERS_IN_PLACE: u8 = 8;
const PLACES: u8 = 12;

/// Second and third octets run over this many values.
const FIRST_OCTET: u32 = 20;
const OCTETS: u32 = 200;
/// Distance between the first choices of processes with adjacent identifiers.
const STRIDE: u32 = 16;

static NEXT_CLAIM: AtomicU32 = AtomicU32::new(0);

/// Tells why there is no block.
#[derive(Debug, Snafu)]
pub enum LoopbackError {
    /// All blocks that were tried are taken.
    #[snafu(display("no free block of loopback addresses; the last one refused: {source}"))]
    NoFreeBlock {
        /// What the system said of the last one.
        source: io::Error,
    },
}

/// Holds a block of loopback addresses for as long as it lives.
#[derive(Debug)]
pub struct LoopbackBlock {
    second: u8,
    third: u8,
    next_vm: u8,
    next_relay: u16,
    _claim: TcpListener,
}

impl LoopbackBlock {
    /// Claims a block.
    ///
    /// # Errors
    ///
    /// Returns an error if no block is free.
    pub fn claim() -> Result<Self, LoopbackError> {
        let first = std::process::id().wrapping_mul(STRIDE);
        loop {
            let turn = NEXT_CLAIM.fetch_add(1, Ordering::Relaxed);
            let number = first.wrapping_add(turn) % (OCTETS * OCTETS);
            let second = octet(FIRST_OCTET + number / OCTETS);
            let third = octet(FIRST_OCTET + number % OCTETS);
            let claim =
                TcpListener::bind((Ipv4Addr::new(127, second, third, CLAIM_HOST), CLAIM_PORT));
            match claim {
                Ok(claim) => {
                    return Ok(Self {
                        second,
                        third,
                        next_vm: FIRST_VM_HOST,
                        next_relay: FIRST_RELAY_PORT,
                        _claim: claim,
                    });
                }
                Err(source) if turn > OCTETS * OCTETS => {
                    return Err(LoopbackError::NoFreeBlock { source });
                }
                Err(_) => {}
            }
        }
    }

    fn host(&self, host: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.second, self.third, host))
    }

    /// Returns an address for a new VM.
    ///
    /// # Panics
    ///
    /// Panics if the block has no more.
    pub fn next_vm(&mut self) -> IpAddr {
        assert!(
            self.next_vm < FIRST_CALLER_HOST,
            "too many VMs for one block"
        );
        let host = self.next_vm;
        self.next_vm += 1;
        self.host(host)
    }

    /// Returns an address and port for a new relay.
    pub fn next_relay(&mut self) -> SocketAddr {
        let port = self.next_relay;
        self.next_relay += 1;
        SocketAddr::new(self.host(RELAY_HOST), port)
    }

    /// Returns the address of a caller: the `caller`th of the `place`th place.
    ///
    /// # Panics
    ///
    /// Panics if there are more places or callers than the block has addresses for.
    #[must_use]
    pub fn caller(&self, place: usize, caller: usize) -> IpAddr {
        let place = u8::try_from(place).expect("few places");
        let caller = u8::try_from(caller).expect("few callers");
        assert!(
            place < PLACES && caller < CALLERS_IN_PLACE,
            "too many callers"
        );
        self.host(FIRST_CALLER_HOST + place * CALLERS_IN_PLACE + caller)
    }

    /// Returns the block of the callers of the `place`th place, as a manifest has it.
    #[must_use]
    pub fn caller_block(&self, place: usize) -> String {
        format!("{}/{CALLER_PREFIX_LENGTH}", self.caller(place, 0))
    }
}

fn octet(value: u32) -> u8 {
    u8::try_from(value).expect("below 256 by the constants above")
}
