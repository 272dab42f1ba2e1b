//! Sends signals to child processes.

use std::process::{Child, Command};

/// Sends a signal, given as the option of `kill`, such as `-HUP`.
pub fn send_signal(process: &Child, signal: &str) {
    let sent = Command::new("kill").args([signal, &process.id().to_string()]).status();
    assert!(sent.unwrap().success());
}
