//! Measures the memory and time that the forwarder's endpoint tables need for each listed endpoint.
//!
//! `cargo run --release -p reeddock-forwarder --example target_tables -- 320000` prints one JSON object.
//! `bytes` are resident bytes as reported by the operating system, and include endpoint names of ten bytes.

use std::error::Error;
use std::net::SocketAddr;
use std::time::Instant;

use reeddock_forwarder::endpoints::{EndpointLocation, EndpointTable};
use reeddock_forwarder::idle_permits::IdlePermits;

const KINDS: [&str; 3] = ["m1", "m2", "m3"];

/// Returns the resident bytes of this process.
fn resident_bytes() -> Result<u64, Box<dyn Error>> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .ok_or("/proc/self/status has no VmRSS line")?;
    Ok(line.trim().trim_end_matches(" kB").parse::<u64>()? * 1024)
}

fn main() -> Result<(), Box<dyn Error>> {
    let endpoints: u32 = std::env::args().nth(1).ok_or("usage: target_tables ENDPOINTS")?.parse()?;
    let (before, start) = (resident_bytes()?, Instant::now());
    let (mut table, mut idle_permits) = (EndpointTable::default(), IdlePermits::default());
    for number in 0..endpoints {
        let id = table.id_for_name(&format!("s-{number:08x}"));
        let address = SocketAddr::from((number.to_be_bytes(), 9000));
        table.set_location(id, EndpointLocation { address, max_batch: 1 });
        idle_permits.endpoint_listed(id, KINDS[number as usize % KINDS.len()]);
    }
    let (filled, bytes) = (start.elapsed(), resident_bytes()? - before);
    println!(
        r#"{{"targets":{endpoints},"bytes":{bytes},"bytes_each":{:.1},"nanoseconds_each":{:.0}}}"#,
        bytes as f64 / f64::from(endpoints),
        filled.as_nanos() as f64 / f64::from(endpoints)
    );
    drop((table, idle_permits));
    Ok(())
}
