//! What the delivery policy keeps in memory for each listed endpoint and each held message, as resident memory of a process
//! of its own for each size (Linux). A message's figure has its id in it, 36 bytes.

mod load;

use std::io;
use std::process::{Command, ExitCode};

use load::{Load, Size};

/// Held, destinations: as `benches/turns.rs` has them.
const SIZES: [(usize, u64); 9] = [
    (10, 10),
    (100, 100),
    (100, 10_000),
    (100, 100_000),
    (100, 320_000),
    (10_000, 1_000),
    (100_000, 1_000),
    (1_200_000, 1_000),
    (1_200_000, 320_000),
];
const SLOTS: u64 = 64;
/// Under so many of them a figure for each would be that of the process.
const LEAST_COUNTED: u64 = 10_000;
/// Marks the process that measures one size.
const ONE: &str = "--one-size";

/// Kilobytes that the system's own count has under this name.
fn memory(name: &str) -> io::Result<u64> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|l| l.strip_prefix(name)?.strip_prefix(':'));
    let value = line.and_then(|l| l.trim().strip_suffix(" kB")?.parse().ok());
    value.ok_or_else(|| io::Error::other(format!("/proc/self/status: expected {name} in kB")))
}

fn row(cells: [String; 7]) -> String {
    let [held, destinations, list, endpoint, all, message, peak] = cells;
    format!("{held:>9} {destinations:>12} {list:>9} {endpoint:>12} {all:>9} {message:>14} {peak:>9}")
}

/// Bytes for each, of a difference in kilobytes.
fn each(kilobytes: u64, count: u64) -> String {
    if count < LEAST_COUNTED {
        return "-".to_owned();
    }
    (kilobytes * 1_024 / count).to_string()
}

fn measure(held: usize, destinations: u64) -> io::Result<String> {
    let mut load = Load::open(Size { held, destinations, slots: SLOTS });
    let empty = memory("VmRSS")?;
    load.list();
    let listed = memory("VmRSS")?;
    load.hold();
    let loaded = memory("VmRSS")?;
    load.first_turns();
    let peak = memory("VmHWM")?;
    let megabytes = |kilobytes: u64| format!("{:.1}", kilobytes.saturating_sub(empty) as f64 / 1_024.0);
    Ok(row([
        held.to_string(),
        destinations.to_string(),
        megabytes(listed),
        each(listed.saturating_sub(empty), destinations),
        megabytes(loaded),
        each(loaded.saturating_sub(listed), held as u64),
        megabytes(peak),
    ]))
}

/// Measures one size in a process that has measured none before: memory given back stays with a process.
fn measure_apart(held: usize, destinations: u64) -> io::Result<String> {
    let program = std::env::current_exe()?;
    let output = Command::new(program).args([ONE, &held.to_string(), &destinations.to_string()]).output()?;
    let text = String::from_utf8_lossy(&output.stdout).trim_end().to_owned();
    if output.status.success() {
        Ok(text)
    } else {
        Err(io::Error::other(format!("{held} held, {destinations} destinations: {}", output.status)))
    }
}

fn all() -> io::Result<()> {
    let heads = ["held", "destinations", "list MB", "B a target", "all MB", "B an envelope", "peak MB"];
    println!("{}", row(heads.map(str::to_owned)));
    for (held, destinations) in SIZES {
        println!("{}", measure_apart(held, destinations)?);
    }
    Ok(())
}

fn one(arguments: &[String]) -> io::Result<()> {
    let number = |n: usize| arguments.get(n).and_then(|text| text.parse::<u64>().ok());
    let (Some(held), Some(destinations)) = (number(0), number(1)) else {
        return Err(io::Error::other(format!("expected {ONE} HELD DESTINATIONS")));
    };
    println!("{}", measure(held as usize, destinations)?);
    Ok(())
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let done = match arguments.split_first() {
        Some((first, rest)) if first == ONE => one(rest),
        _ => all(),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("memory: {fault}");
            ExitCode::FAILURE
        }
    }
}
