//! Measures what the record of an action adds to a request, over real processes on
//! loopback.
//!
//! `cargo build --release --bins && cargo run --release --example action_cost`
//!
//! Searches and bookings take turns, one at a time, so that both see the same machine.
//! A backend server answers at once; what differs is the record at the primary and the
//! round to the backup before the dispatch.

use std::error::Error;
use std::net::SocketAddr;
use std::path::PathBuf;

use hdrhistogram::Histogram;
use heatherring_testutils::caller::CallSpec;
use heatherring_testutils::caller::Caller;
use heatherring_testutils::deployment::Deployment;
use heatherring_testutils::deployment::book;
use heatherring_testutils::deployment::search;
use heatherring_testutils::deployment_plan::DeploymentPlan;
use heatherring_testutils::service_time::ServiceTime;

const SERVICE: &str = "registry";
const PLACE: &str = "fko-hakata";
const WARM_UP: usize = 200;
const MEASURED: usize = 3_000;
const SIGNIFICANT_DIGITS: u8 = 3;

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let mut plan = DeploymentPlan::small(4, 5);
    for group in &mut plan.groups {
        group.service_time = ServiceTime::Fixed { ms: 0.0 };
    }
    let deployment = Deployment::start(plan, &binary()?).await?;
    let mut caller = deployment.caller("cost", PLACE, 0);
    let look_up = caller.look_up(SERVICE).await.ok_or("no look-up")?;
    let primary = look_up.entry.address;
    let others = deployment.cluster.callers_addresses();
    let other = others.into_iter().find(|other| *other != primary);
    let other = other.ok_or("no other entry VM")?;
    for (name, entry) in [("at the primary", primary), ("through another", other)] {
        measure(&mut caller, name, primary, entry).await?;
    }
    Ok(())
}

fn binary() -> Result<PathBuf, Box<dyn Error>> {
    let example = std::env::current_exe()?;
    let folder = example.parent().and_then(|folder| folder.parent());
    Ok(folder.ok_or("no target folder")?.join("heatherring"))
}

async fn measure(
    caller: &mut Caller,
    name: &str,
    primary: SocketAddr,
    entry: SocketAddr,
) -> Result<(), Box<dyn Error>> {
    let mut searches = Histogram::<u64>::new(SIGNIFICANT_DIGITS)?;
    let mut bookings = Histogram::<u64>::new(SIGNIFICANT_DIGITS)?;
    for number in 0..WARM_UP + MEASURED {
        let search_us = timed(caller, primary, entry, &search(SERVICE)).await?;
        let book_us = timed(caller, primary, entry, &book(SERVICE)).await?;
        if number >= WARM_UP {
            searches.record(search_us)?;
            bookings.record(book_us)?;
        }
    }
    print(name, "search", &searches);
    print(name, "booking", &bookings);
    Ok(())
}

async fn timed(
    caller: &mut Caller,
    primary: SocketAddr,
    entry: SocketAddr,
    spec: &CallSpec,
) -> Result<u64, Box<dyn Error>> {
    let key = if spec.action {
        Some(key_for(caller, primary).await?)
    } else {
        None
    };
    let nonce = caller.next_nonce();
    let attempt = caller.send(entry, spec, &nonce, key.as_deref()).await;
    if attempt.told.is_answer() {
        Ok(attempt.ended_us - attempt.sent_us)
    } else {
        Err(format!("no answer: {:?}", attempt.told).into())
    }
}

/// Draws a key whose primary is the entry VM at `primary`; look-ups may name others.
async fn key_for(caller: &mut Caller, primary: SocketAddr) -> Result<String, Box<dyn Error>> {
    for _ in 0..100 {
        let look_up = caller.look_up(SERVICE).await.ok_or("no look-up")?;
        if look_up.entry.address == primary && look_up.ticket.is_some() {
            return Ok(caller.new_key(&look_up));
        }
        caller.forget(SERVICE);
    }
    Err("no look-up names the primary".into())
}

fn print(name: &str, request: &str, micros: &Histogram<u64>) {
    let p50 = micros.value_at_quantile(0.5);
    let p99 = micros.value_at_quantile(0.99);
    let p999 = micros.value_at_quantile(0.999);
    println!("{name:16} {request:8} p50 {p50:>6} us  p99 {p99:>6} us  p99.9 {p999:>6} us");
}
