//! The task that watches the room of an entry VM.

use std::sync::Arc;
use std::time::Duration;

use heatherring_lib::clock::Clock;
use heatherring_lib::direct_settings::LookUpSettings;
use heatherring_lib::headroom::Headroom;
use heatherring_lib::headroom::HeadroomMeter;
use heatherring_lib::headroom::RoomSample;
use heatherring_lib::link_load::LinkLoad;
use tokio::sync::watch;

use crate::http_server::ConnectionUsage;
use crate::metric;

/// Interval between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);

/// Configuration and inputs of the task.
#[derive(Debug)]
pub struct HeadroomSetup {
    /// Whether to tell the headroom, and the size of the VM.
    pub settings: LookUpSettings,
    /// Time for which callers cache an answer to a look-up.
    pub keep: Duration,
    /// Callers' connections.
    pub connections: ConnectionUsage,
    /// Largest number of callers' connections.
    pub max_connections: usize,
    /// Load of the VM's link; `None` if its rate is not known.
    pub link: Option<watch::Receiver<LinkLoad>>,
    /// Source of time.
    pub clock: Arc<dyn Clock>,
}

impl HeadroomSetup {
    fn link_load(&self) -> LinkLoad {
        let link = self.link.as_ref();
        link.map_or_else(LinkLoad::default, |load| *load.borrow())
    }
}

struct HeadroomTask {
    setup: HeadroomSetup,
    meter: HeadroomMeter,
    refused: u64,
    headroom: watch::Sender<Option<Headroom>>,
}

/// Starts the task unless the settings turn it off, and returns the headroom, which is `None`
/// without the task.
#[must_use]
pub fn spawn(setup: HeadroomSetup) -> watch::Receiver<Option<Headroom>> {
    if !setup.settings.by_headroom {
        return watch::channel(None).1;
    }
    let now = setup.clock.now();
    let meter = HeadroomMeter::new(now, setup.settings.size, setup.keep);
    let (headroom, rx) = watch::channel(Some(meter.headroom()));
    let task = HeadroomTask {
        setup,
        meter,
        refused: 0,
        headroom,
    };
    tokio::spawn(task.run());
    rx
}

impl HeadroomTask {
    async fn run(mut self) {
        let mut interval = tokio::time::interval(SAMPLE_INTERVAL);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        while !self.headroom.is_closed() {
            interval.tick().await;
            self.update();
        }
    }

    fn update(&mut self) {
        let sample = self.sample();
        let headroom = self.meter.update(self.setup.clock.now(), &sample);
        metric::headroom(headroom.share());
        let is_changed = self.headroom.send_if_modified(|told| {
            let is_changed = *told != Some(headroom);
            *told = Some(headroom);
            is_changed
        });
        if is_changed {
            log::info!(event = "headroom_changed", share = headroom.share(), link = sample.link.used, backlog = sample.link.backlog, connections = sample.connections, refused = sample.refused; "the room of this entry VM has changed");
        }
    }

    fn sample(&mut self) -> RoomSample {
        let refused = self.setup.connections.refused();
        let is_refusing = refused > self.refused;
        self.refused = refused;
        let count = |count: usize| f64::from(u32::try_from(count).unwrap_or(u32::MAX));
        let open = count(self.setup.connections.open());
        RoomSample {
            link: self.setup.link_load(),
            connections: open / count(self.setup.max_connections),
            refused: is_refusing,
        }
    }
}
