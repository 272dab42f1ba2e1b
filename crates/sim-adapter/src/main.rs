//! Reads batches from standard input and writes a reply to each to standard output, until the input ends.

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

use reeddock_sim_adapter::{AdapterError, SimulationAdapter};

fn main() -> ExitCode {
    // Disables the default report on standard error, because replies report panics of the delivery policy.
    std::panic::set_hook(Box::new(|_| {}));
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("reeddock-wirehost: {}", error.to_string().replace('\n', " "));
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), AdapterError> {
    let mut adapter = SimulationAdapter::default();
    let mut output = io::stdout().lock();
    for line in io::stdin().lock().lines() {
        let reply = adapter.process_batch(&line.map_err(AdapterError::Read)?)?;
        writeln!(output, "{reply}").map_err(AdapterError::Write)?;
        output.flush().map_err(AdapterError::Write)?;
    }
    Ok(())
}
