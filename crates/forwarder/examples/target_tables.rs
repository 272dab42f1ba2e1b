//! Measures what the network side keeps for each listed endpoint: names, numbers, addresses, batches and kinds.
//!
//! `cargo run --release -p reeddock-forwarder --example target_tables -- 320000` prints one JSON object: resident
//! bytes for each endpoint by the system's account, names of ten bytes among them.

use std::error::Error;
use std::net::SocketAddr;
use std::time::Instant;

use reeddock_forwarder::endpoints::{EndpointLocation, EndpointTable};
use reeddock_forwarder::idle_permits::IdlePermits;

const KINDS: [&str; 3] = ["m1", "m2", "m3"];

/// Resident bytes of this process.
fn resident() -> Result<u64, Box<dyn Error>> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).ok_or("no VmRSS")?;
    Ok(line.trim().trim_end_matches(" kB").parse::<u64>()? * 1024)
}

fn main() -> Result<(), Box<dyn Error>> {
    let endpoints: u32 = std::env::args().nth(1).ok_or("usage: target_tables TARGETS")?.parse()?;
    let (before, start) = (resident()?, Instant::now());
    let (mut table, mut idle_permits) = (EndpointTable::default(), IdlePermits::default());
    for number in 0..endpoints {
        let id = table.id_for_name(&format!("s-{number:08x}"));
        let address = SocketAddr::from((number.to_be_bytes(), 9000));
        table.set_location(id, EndpointLocation { address, max_batch: 1 });
        idle_permits.endpoint_listed(id, KINDS[number as usize % KINDS.len()]);
    }
    let (filled, bytes) = (start.elapsed(), resident()? - before);
    println!(
        r#"{{"targets":{endpoints},"bytes":{bytes},"bytes_each":{:.1},"nanoseconds_each":{:.0}}}"#,
        bytes as f64 / f64::from(endpoints),
        filled.as_nanos() as f64 / f64::from(endpoints)
    );
    drop((table, idle_permits));
    Ok(())
}
