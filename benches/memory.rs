//! Memory of the delivery policy per listed endpoint and per queued message, measured as resident memory
//! (Linux only) of a separate process for each size. The memory of a message includes its id of 36 bytes.

mod load;

use std::io;
use std::process::{Command, ExitCode};

use load::{LoadSize, LoadedPolicy};

const fn size(queued: usize, destinations: u64) -> LoadSize {
    LoadSize { queued, destinations, max_in_flight: 64 }
}

/// Subset of the sizes in `benches/turns.rs`.
const SIZES: [LoadSize; 9] = [
    size(10, 10),
    size(100, 100),
    size(100, 10_000),
    size(100, 100_000),
    size(100, 320_000),
    size(10_000, 1_000),
    size(100_000, 1_000),
    size(1_200_000, 1_000),
    size(1_200_000, 320_000),
];
/// Minimum count for a value in bytes per item; with fewer items, the memory of the process dominates.
const MIN_COUNT_FOR_BYTES: u64 = 10_000;
/// Option of this program that measures one size.
const ONE_SIZE: &str = "--one-size";
/// Name of the current resident memory in `/proc/self/status`.
const RESIDENT_NOW: &str = "VmRSS";
/// Name of the peak resident memory in `/proc/self/status`.
const RESIDENT_PEAK: &str = "VmHWM";

/// Returns a value of `/proc/self/status`, in kB.
fn memory_kb(name: &str) -> io::Result<u64> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(':'));
    let value = line.and_then(|line| line.trim().strip_suffix(" kB")?.parse().ok());
    value.ok_or_else(|| io::Error::other(format!("/proc/self/status: expected {name} in kB")))
}

fn table_row(cells: [String; 7]) -> String {
    let [queued, destinations, list, endpoint, all, message, peak] = cells;
    format!("{queued:>9} {destinations:>12} {list:>9} {endpoint:>12} {all:>9} {message:>14} {peak:>9}")
}

/// Returns the bytes per item as table text, or `-` if there are too few items.
fn bytes_per_item(kilobytes: u64, count: u64) -> String {
    if count < MIN_COUNT_FOR_BYTES {
        return "-".to_owned();
    }
    (kilobytes * 1_024 / count).to_string()
}

/// Measures one size in this process and returns a row of the table.
fn measure(size: LoadSize) -> io::Result<String> {
    let mut load = LoadedPolicy::new(size);
    let empty = memory_kb(RESIDENT_NOW)?;
    load.list_endpoints();
    let listed = memory_kb(RESIDENT_NOW)?;
    load.queue_messages();
    let loaded = memory_kb(RESIDENT_NOW)?;
    load.warm_up();
    let peak = memory_kb(RESIDENT_PEAK)?;
    let megabytes = |kilobytes: u64| format!("{:.1}", kilobytes.saturating_sub(empty) as f64 / 1_024.0);
    Ok(table_row([
        size.queued.to_string(),
        size.destinations.to_string(),
        megabytes(listed),
        bytes_per_item(listed.saturating_sub(empty), size.destinations),
        megabytes(loaded),
        bytes_per_item(loaded.saturating_sub(listed), size.queued as u64),
        megabytes(peak),
    ]))
}

/// Measures one size in a new process, because freed memory remains resident.
fn measure_in_new_process(size: LoadSize) -> io::Result<String> {
    let LoadSize { queued, destinations, .. } = size;
    let program = std::env::current_exe()?;
    let arguments = [ONE_SIZE, &queued.to_string(), &destinations.to_string()];
    let output = Command::new(program).args(arguments).output()?;
    let row = String::from_utf8_lossy(&output.stdout).trim_end().to_owned();
    if output.status.success() {
        Ok(row)
    } else {
        let status = output.status;
        Err(io::Error::other(format!(
            "measuring {queued} queued messages and {destinations} destinations: {status}"
        )))
    }
}

fn print_table() -> io::Result<()> {
    let headings = ["queued", "destinations", "list MB", "B/endpoint", "all MB", "B/message", "peak MB"];
    println!("{}", table_row(headings.map(str::to_owned)));
    for size in SIZES {
        println!("{}", measure_in_new_process(size)?);
    }
    Ok(())
}

/// Prints the row of the size that the arguments after [`ONE_SIZE`] specify.
fn print_one_size(arguments: &[String]) -> io::Result<()> {
    let number = |n: usize| arguments.get(n).and_then(|text| text.parse::<u64>().ok());
    let (Some(queued), Some(destinations)) = (number(0), number(1)) else {
        return Err(io::Error::other(format!("expected {ONE_SIZE} QUEUED DESTINATIONS")));
    };
    println!("{}", measure(size(queued as usize, destinations))?);
    Ok(())
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let result = match arguments.split_first() {
        Some((first, rest)) if first == ONE_SIZE => print_one_size(rest),
        _ => print_table(),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("memory: {error}");
            ExitCode::FAILURE
        }
    }
}
