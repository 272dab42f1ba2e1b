//! Measures what the network side keeps for each listed target: names, numbers, addresses, batches and kinds.
//!
//! `cargo run --release -p reeddock-forwarder --example target_tables -- 320000` prints one JSON object: resident
//! bytes for each target by the system's account, names of ten bytes among them.

use std::error::Error;
use std::net::SocketAddr;
use std::time::Instant;

use reeddock_forwarder::crowding::Crowding;
use reeddock_forwarder::targets::{Place, TargetTable};

const KINDS: [&str; 3] = ["m1", "m2", "m3"];

/// Resident bytes of this process.
fn resident() -> Result<u64, Box<dyn Error>> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).ok_or("no VmRSS")?;
    Ok(line.trim().trim_end_matches(" kB").parse::<u64>()? * 1024)
}

fn main() -> Result<(), Box<dyn Error>> {
    let targets: u32 = std::env::args().nth(1).ok_or("usage: target_tables TARGETS")?.parse()?;
    let (before, start) = (resident()?, Instant::now());
    let (mut table, mut crowding) = (TargetTable::default(), Crowding::default());
    for number in 0..targets {
        let id = table.number(&format!("s-{number:08x}"));
        let address = SocketAddr::from((number.to_be_bytes(), 9000));
        table.place(id, Place { address, batch: 1 });
        crowding.listed(id, KINDS[number as usize % KINDS.len()]);
    }
    let (filled, bytes) = (start.elapsed(), resident()? - before);
    println!(
        r#"{{"targets":{targets},"bytes":{bytes},"bytes_each":{:.1},"nanoseconds_each":{:.0}}}"#,
        bytes as f64 / f64::from(targets),
        filled.as_nanos() as f64 / f64::from(targets)
    );
    drop((table, crowding));
    Ok(())
}
