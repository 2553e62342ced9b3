//! The links between the processes of a test: their delays and their cuts.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::watch;

use crate::relay::Link;
use crate::relay::Links;
use crate::relay::ProcessNames;
use crate::relay::Relay;
use crate::relay::RelayError;
use crate::relay::Source;

/// Holds what happens to bytes on their way from one process to another.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct OneWay {
    delay: Duration,
    cut: bool,
}

/// Owns the relays between the processes of a test, which go by their names.
///
/// Whoever is no named process, such as a caller, is reached without delay or cut,
/// except by an isolated process.
#[derive(Debug, Default)]
pub struct Network {
    names: watch::Sender<ProcessNames>,
    links: BTreeMap<(String, String), OneWay>,
    isolated: BTreeSet<String>,
    /// Processes that stay isolated for good.
    gone: BTreeSet<String>,
    /// Each with the name of the process that it leads to.
    relays: Vec<(String, Relay)>,
    /// Delay between unnamed sources and each process.
    outside_delay: Duration,
}

impl Network {
    /// Relays connections from `listen` to `target`, which the process `to` listens on.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be used.
    pub async fn add_relay(
        &mut self,
        listen: SocketAddr,
        target: SocketAddr,
        to: &str,
    ) -> Result<(), RelayError> {
        let names = self.names.subscribe();
        let relay = Relay::start_for_processes(listen, target, Link::default(), names).await?;
        self.relays.push((to.to_owned(), relay));
        self.update();
        Ok(())
    }

    /// Notes which process has a name from now on, and its VM's address if it has one.
    pub fn register(&mut self, pid: u32, address: Option<IpAddr>, name: &str) {
        self.names.send_modify(|names| {
            names.by_pid.insert(pid, name.to_owned());
            if let Some(address) = address {
                names.by_address.insert(address, name.to_owned());
            }
        });
        self.update();
    }

    /// Sets the one-way delay between two processes.
    pub fn set_delay(&mut self, one: &str, other: &str, delay: Duration) {
        self.modify(one, other, |link| link.delay = delay);
        self.modify(other, one, |link| link.delay = delay);
        self.update();
    }

    /// Sets the one-way delay between processes and whoever has no name.
    pub fn set_outside_delay(&mut self, delay: Duration) {
        self.outside_delay = delay;
        self.update();
    }

    /// Holds back what flows from one process to another, in this direction only.
    pub fn cut_one_way(&mut self, from: &str, to: &str) {
        self.modify(from, to, |link| link.cut = true);
        self.update();
    }

    /// Holds back what flows between two processes.
    pub fn cut(&mut self, one: &str, other: &str) {
        self.cut_one_way(one, other);
        self.cut_one_way(other, one);
    }

    /// Holds back everything that flows to and from a process.
    pub fn isolate(&mut self, name: &str) {
        self.isolated.insert(name.to_owned());
        self.update();
    }

    /// Holds back everything that flows to and from a process, for good.
    pub fn remove(&mut self, name: &str) {
        self.gone.insert(name.to_owned());
        self.update();
    }

    /// Mends all cuts but those of removed processes; what was held back arrives.
    pub fn mend(&mut self) {
        self.isolated.clear();
        for link in self.links.values_mut() {
            link.cut = false;
        }
        self.update();
    }

    fn modify(&mut self, from: &str, to: &str, change: impl Fn(&mut OneWay)) {
        let link = self.links.entry((from.to_owned(), to.to_owned()));
        change(link.or_default());
    }

    fn one_way(&self, from: &str, to: &str) -> OneWay {
        let link = self.links.get(&(from.to_owned(), to.to_owned()));
        link.copied().unwrap_or_default()
    }

    fn link(&self, from: &str, to: &str) -> Link {
        let there = self.one_way(from, to);
        let back = self.one_way(to, from);
        let isolated = self.is_isolated(from) || self.is_isolated(to);
        Link {
            delay: there.delay,
            cut_towards_target: there.cut || isolated,
            cut_from_target: back.cut || isolated,
        }
    }

    fn is_isolated(&self, name: &str) -> bool {
        self.isolated.contains(name) || self.gone.contains(name)
    }

    fn update(&self) {
        let names: BTreeSet<_> = self.names.borrow().by_pid.values().cloned().collect();
        for (to, relay) in &self.relays {
            let outside = Link::delayed(self.outside_delay);
            let others = if self.is_isolated(to) {
                outside.cut()
            } else {
                outside
            };
            let sources = names.iter();
            let by_source =
                sources.map(|from| (Source::Process(from.clone()), self.link(from, to)));
            relay.set_links(Links {
                others,
                by_source: by_source.collect(),
            });
        }
    }
}
