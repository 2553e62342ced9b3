//! A TCP relay before a control replica. A cut link holds what was sent on its connections, in both
//! directions, until it heals; connections that are opened meanwhile never get through.

use std::collections::BTreeSet;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net::IpAddr;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;

/// Sources whose link to the target is cut.
#[derive(Default)]
struct Cuts {
    sources: Mutex<BTreeSet<IpAddr>>,
    changed: Condvar,
}

impl Cuts {
    fn holds(&self, source: IpAddr) -> bool {
        self.sources.lock().unwrap().contains(&source)
    }

    /// Waits until the link of `source` is whole.
    fn wait(&self, source: IpAddr) {
        let mut sources = self.sources.lock().unwrap();
        while sources.contains(&source) {
            sources = self.changed.wait(sources).unwrap();
        }
    }
}

pub struct Relay {
    pub address: SocketAddr,
    cuts: Arc<Cuts>,
}

impl Relay {
    pub fn start(address: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let cuts = Arc::new(Cuts::default());
        let relay = Self {
            address,
            cuts: Arc::clone(&cuts),
        };
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let cuts = Arc::clone(&cuts);
                std::thread::spawn(move || {
                    // The pair of connections ends with any error.
                    let _ = join(stream, target, &cuts);
                });
            }
        });
        Ok(relay)
    }

    /// Cuts or heals the link of a source to the target.
    pub fn set_cut(&self, source: IpAddr, cut: bool) {
        let mut sources = self.cuts.sources.lock().unwrap();
        if cut {
            sources.insert(source);
        } else {
            sources.remove(&source);
        }
        self.cuts.changed.notify_all();
    }
}

fn join(stream: TcpStream, target: SocketAddr, cuts: &Arc<Cuts>) -> io::Result<()> {
    let source = stream.peer_addr()?.ip();
    if cuts.holds(source) {
        // Its opening packet would have been lost.
        cuts.wait(source);
        return Ok(());
    }
    let onward = TcpStream::connect_timeout(&target, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    onward.set_nodelay(true)?;
    let (back_from, back_to) = (onward.try_clone()?, stream.try_clone()?);
    let back_cuts = Arc::clone(cuts);
    std::thread::spawn(move || copy(back_from, back_to, source, &back_cuts));
    copy(stream, onward, source, cuts);
    Ok(())
}

fn copy(mut from: TcpStream, mut to: TcpStream, source: IpAddr, cuts: &Cuts) {
    let mut buf = [0; 64 << 10];
    loop {
        let read = from.read(&mut buf);
        cuts.wait(source);
        match read {
            Ok(read @ 1..) => {
                if to.write_all(&buf[..read]).is_err() {
                    let _ = from.shutdown(Shutdown::Both);
                    return;
                }
            }
            Ok(0) => {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
            Err(_) => {
                let _ = to.shutdown(Shutdown::Both);
                return;
            }
        }
    }
}
