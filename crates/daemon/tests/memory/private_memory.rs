//! Private memory of a process: what it has allocated and touched, without the pages of its program file.

use std::process::Child;

/// Returns the private memory of a process in bytes.
pub fn private_memory(process: &Child) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", process.id())).unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
    let kilobytes = line.and_then(|line| line.trim().strip_suffix(" kB")).expect("RssAnon in kB");
    kilobytes.parse::<u64>().unwrap() * 1024
}
