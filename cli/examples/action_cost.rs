//! Measures the latency that recording an action adds to a request, with real processes on
//! loopback.
//!
//! `cargo build --release --bins && cargo run --release --example action_cost`
//!
//! Searches and bookings alternate, one at a time, so that both run under the same load of the
//! machine. Backend servers answer without delay, so the difference is the record at the primary
//! and the round trip to the backup before the dispatch.

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
const WARM_UP_REQUESTS: usize = 200;
const MEASURED_REQUESTS: usize = 3_000;
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
    for number in 0..WARM_UP_REQUESTS + MEASURED_REQUESTS {
        let search_us = measure_latency_us(caller, primary, entry, &search(SERVICE)).await?;
        let book_us = measure_latency_us(caller, primary, entry, &book(SERVICE)).await?;
        if number >= WARM_UP_REQUESTS {
            searches.record(search_us)?;
            bookings.record(book_us)?;
        }
    }
    print_quantiles(name, "search", &searches);
    print_quantiles(name, "booking", &bookings);
    Ok(())
}

async fn measure_latency_us(
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

/// Returns a new key whose primary is the entry VM at `primary`. Look-ups are repeated, because
/// they may name other entry VMs.
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

fn print_quantiles(name: &str, request: &str, micros: &Histogram<u64>) {
    let p50 = micros.value_at_quantile(0.5);
    let p99 = micros.value_at_quantile(0.99);
    let p999 = micros.value_at_quantile(0.999);
    println!("{name:16} {request:8} p50 {p50:>6} us  p99 {p99:>6} us  p99.9 {p999:>6} us");
}
