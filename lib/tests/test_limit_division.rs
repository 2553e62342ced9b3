//! How entry VMs divide the rate limit of a backend server.

mod dispatch_model;
mod limit_model;

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use heatherring_lib::affinity::MemberHash;
use heatherring_lib::affinity::ObjectHash;
use heatherring_lib::backend_limit;
use heatherring_lib::backend_limit::Sender;
use heatherring_lib::id::BackendName;
use heatherring_lib::rate_limit::RequestRate;
use heatherring_lib::sender_share;
use heatherring_lib::sender_share::SendGate;
use limit_model::WINDOW;
use limit_model::rate;
use proptest::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Entry VMs of two regions, and the limit of one backend server in region 0.
struct Division {
    senders: Vec<Sender>,
    rate: RequestRate,
    backend: BackendName,
}

impl Division {
    fn new(local: usize, remote: usize, per_second: f64) -> Self {
        let sender = |number: usize| Sender {
            vm: MemberHash::of(&format!("entry-{number}")),
            region: MemberHash::of(if number < local { "r0" } else { "r1" }),
        };
        Self {
            senders: (0..local + remote).map(sender).collect(),
            rate: rate(per_second),
            backend: BackendName::new("backend-1"),
        }
    }

    fn interval(&self, own: Sender, age: Duration) -> Option<Duration> {
        let region = MemberHash::of("r0");
        backend_limit::interval(&self.backend, region, own, &self.senders, self.rate, age)
    }
}

proptest! {
    /// Guards against shares that add up to more than the limit, whatever the number of entry VMs.
    #[test]
    fn test_backend_limit_shares_add_up(
        local in 0_usize..90,
        remote in 0_usize..90,
        per_second in 0.0_f64..40.0,
        age in 0_u64..100,
    ) {
        let division = Division::new(local, remote, per_second);
        let age = Duration::from_secs(age);
        let shares = division.senders.iter().filter_map(|own| division.interval(*own, age));
        let total: f64 = shares.map(|interval| 1.0 / interval.as_secs_f64()).sum();
        prop_assert!(total <= per_second.max(0.1) * 1.000_001, "{total} of {per_second}");
    }
}

/// Guards against entry VMs that never get a share, and so never learn that a limit has ended.
#[test]
fn test_backend_limit_shares_rotate() {
    let division = Division::new(20, 0, 1.0);
    let selected: BTreeSet<usize> = (0..100)
        .flat_map(|turn| {
            let age = Duration::from_secs(10 * turn);
            let senders = division.senders.iter().enumerate();
            let shares = senders.filter(|(_, own)| division.interval(**own, age).is_some());
            shares.map(|(number, _)| number).collect::<Vec<usize>>()
        })
        .collect();
    assert_eq!(selected.len(), division.senders.len());
}

/// Ways to divide a limit among entry VMs.
#[derive(Clone, Copy, Debug)]
enum Way {
    /// The same rate for each.
    Equal,
    /// As many as the limit allows requests in 2 s, the same all the time.
    Selected,
    /// Three quarters for those in the region of the backend server, in turns.
    Local,
    /// One process counts for all.
    Counted,
}

/// Requests of all entry VMs to one backend server for a minute, four times as many as its limit
/// allows, `local_demand` of them in its region. Returns the used share of the limit, and the most
/// requests in a window as a multiple of what the limit allows in it.
fn divide(way: Way, local: usize, remote: usize, local_demand: f64) -> (f64, f64) {
    const LIMIT: f64 = 5.8;
    const LENGTH: f64 = 120.0;
    let division = Division::new(local, remote, LIMIT);
    let vms: Vec<MemberHash> = division.senders.iter().map(|sender| sender.vm).collect();
    let mut gates = vec![SendGate::default(); vms.len()];
    let mut counted = SendGate::default();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let origin = Instant::now();
    let mut passed = 0.0_f64;
    let mut sent: Vec<Instant> = Vec::new();
    while passed < LENGTH {
        passed += -rng.random::<f64>().ln() / (4.0 * LIMIT);
        let sender = if rng.random::<f64>() < local_demand {
            rng.random_range(0..local)
        } else {
            local + rng.random_range(0..remote)
        };
        let now = origin + Duration::from_secs_f64(passed);
        #[expect(clippy::cast_precision_loss)]
        let even = Duration::from_secs_f64(vms.len() as f64 / LIMIT);
        let interval = match way {
            Way::Equal => Some(even),
            Way::Selected => {
                let subject = ObjectHash::of("limit", "backend-1");
                let turn = Duration::from_secs(2);
                sender_share::interval(subject, vms[sender], vms.iter().copied(), LIMIT, turn)
            }
            Way::Local => {
                let age = Duration::from_secs_f64(passed);
                division.interval(division.senders[sender], age)
            }
            Way::Counted => Some(Duration::from_secs_f64(1.0 / LIMIT)),
        };
        let gate = match way {
            Way::Counted => &mut counted,
            _ => &mut gates[sender],
        };
        if let Some(interval) = interval
            && gate.is_open(now, interval, backend_limit::tolerance(interval))
        {
            gate.note_sent(now, interval);
            sent.push(now);
        }
    }
    let within = |begin: &Instant| {
        let window = sent
            .iter()
            .filter(|at| *at >= begin && **at < *begin + WINDOW);
        f64::from(u32::try_from(window.count()).unwrap())
    };
    let most = sent.iter().map(within).fold(0.0, f64::max);
    let count = f64::from(u32::try_from(sent.len()).unwrap());
    (
        count / (LIMIT * LENGTH),
        most / (LIMIT * WINDOW.as_secs_f64()),
    )
}

/// Compares ways to divide a limit.
#[test]
#[ignore = "prints a table"]
fn methods() {
    for (local, remote) in [(2, 6), (28, 56), (100, 200), (328, 657)] {
        for local_demand in [0.88, 0.5, 0.02] {
            print!("{} entry VMs, {local_demand} local:", local + remote);
            for way in [Way::Equal, Way::Selected, Way::Local, Way::Counted] {
                let (used, most) = divide(way, local, remote, local_demand);
                print!(" {way:?} {used:.2} {most:.2};");
            }
            println!();
        }
    }
}
