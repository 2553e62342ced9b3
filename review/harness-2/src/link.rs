//! A relay in front of a control replica. It gives each entry VM a link of a given rate, for all of
//! its connections together and each way by itself. Closing one side closes the other at once, as
//! a reset would.

use std::collections::BTreeMap;
use std::io::Read;
use std::io::Write;
use std::net::IpAddr;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

/// Bytes that are passed on at a time.
const PART: usize = 4 << 10;

/// The links of entry VMs: those that are not listed have no limit.
#[derive(Clone, Debug, Default)]
pub struct Links {
    rates: BTreeMap<IpAddr, f64>,
    free_at: Arc<Mutex<BTreeMap<(IpAddr, bool), Instant>>>,
}

impl Links {
    /// Limits the link of a VM to `mbps` megabits a second each way.
    pub fn limit(&mut self, vm: IpAddr, mbps: f64) {
        self.rates.insert(vm, mbps * 1e6 / 8.0);
    }

    /// Waits until the link has carried `count` more bytes.
    fn carry(&self, vm: IpAddr, towards_vm: bool, count: usize) {
        let Some(rate) = self.rates.get(&vm) else {
            return;
        };
        let now = Instant::now();
        let done = {
            let mut free_at = self.free_at.lock().unwrap();
            let free = free_at.entry((vm, towards_vm)).or_insert(now);
            *free = (*free).max(now) + Duration::from_secs_f64(count as f64 / rate);
            *free
        };
        std::thread::sleep(done.saturating_duration_since(now));
    }
}

/// Relays connections from `from` to `to`, which leave from the caller's own address.
pub fn relay(from: SocketAddr, to: SocketAddr, links: Links) -> std::io::Result<()> {
    let listener = TcpListener::bind(from)?;
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let links = links.clone();
            std::thread::spawn(move || connect(stream, to, &links));
        }
    });
    Ok(())
}

fn connect(near: TcpStream, to: SocketAddr, links: &Links) {
    let Ok(vm) = near.peer_addr().map(|address| address.ip()) else {
        return;
    };
    let Ok(far) = TcpStream::connect_timeout(&to, Duration::from_secs(1)) else {
        return;
    };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let (Ok(near_back), Ok(far_back)) = (near.try_clone(), far.try_clone()) else {
        return;
    };
    let there = links.clone();
    std::thread::spawn(move || copy(near, far, |count| there.carry(vm, false, count)));
    copy(far_back, near_back, |count| links.carry(vm, true, count));
}

fn copy(mut from: TcpStream, mut to: TcpStream, carry: impl Fn(usize)) {
    let mut part = [0; PART];
    while let Ok(count @ 1..) = from.read(&mut part) {
        carry(count);
        if to.write_all(&part[..count]).is_err() {
            break;
        }
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}
