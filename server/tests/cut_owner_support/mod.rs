//! An entry VM that owns two backend servers whose answers a test spoils, and perhaps another one that
//! forwards requests to it.

#![allow(dead_code, reason = "each test file uses a part")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use heatherring_testutils::loopback::SERVICE_PORT;

use crate::cut_support::backend::CuttingBackend;
use crate::cut_support::backend::Dialect;
use crate::cut_support::backend::Ledger;
use crate::cut_support::table::Manner;
use crate::cut_support::table::Target;
use crate::entry_support::PLACE;
use crate::entry_support::rig::Rig;

const LEASE: Duration = Duration::from_secs(10);

/// Enough that one which fails is not missed: it is left alone for a while.
const BACKENDS: usize = 2;

/// Headers between owners and backend servers.
pub const OWN: Dialect = Dialect {
    id: "heatherring-request-id",
    lines: "",
    health: |_| String::new(),
};

/// A request that may safely run twice.
pub const SAFE: Manner = Manner {
    max_attempts: 2,
    ..Manner::new("GET", "/svc/registry/")
};

pub struct Scene {
    pub target: Target,
    pub ledger: Arc<Ledger>,
    _backends: Vec<CuttingBackend>,
    _rig: Rig,
}

impl Scene {
    /// Starts `entries` entry VMs. With two, callers ask the one that does not own the backend
    /// servers.
    pub async fn start(entries: usize) -> Self {
        let mut rig = Rig::start(&vec![PLACE; entries], LEASE).await;
        let ledger = Arc::new(Ledger::new(OWN));
        let mut backends = Vec::new();
        for _ in 0..BACKENDS {
            let address = SocketAddr::new(rig.block.next_vm(), SERVICE_PORT);
            backends.push(CuttingBackend::start("backend", address, &ledger).await);
            rig.announce(address).await;
        }
        let asked = match entries {
            1 => 0,
            _ => 1 - rig.owner(),
        };
        let target = Target {
            address: rig.callers(asked),
            host: "registry.example".to_owned(),
            permits_close: false,
            workers: 1,
        };
        Self {
            target,
            ledger,
            _backends: backends,
            _rig: rig,
        }
    }
}
