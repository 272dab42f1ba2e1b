//! Reads batches from standard input and answers each on standard output until input ends.

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

use reeddock_sim_adapter::Wire;

fn main() -> ExitCode {
    // A panic of the delivery policy is told on the wire; the usual report of it would be a second one.
    std::panic::set_hook(Box::new(|_| {}));
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("reeddock-wirehost: {}", fault.replace('\n', " "));
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), String> {
    let mut wire = Wire::default();
    let mut out = io::stdout().lock();
    for line in io::stdin().lock().lines() {
        let line = line.map_err(|e| format!("cannot read a batch: {e}"))?;
        let reply = wire.answer(&line)?;
        writeln!(out, "{reply}")
            .and_then(|()| out.flush())
            .map_err(|e| format!("cannot write a reply: {e}"))?;
    }
    Ok(())
}
