//! Processes of the program under test.

use std::path::Path;
use std::process::{Child, Command};

/// A child process that is killed when dropped, also if the test panics.
pub struct KillOnDrop(pub Child);

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Returns the command that runs a forwarder.
pub fn serve_command(config_file: &Path, state_folder: &Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_reeddock"));
    command.args(["serve".as_ref(), "--config".as_ref(), config_file.as_os_str()]);
    command.args(["--state".as_ref(), state_folder.as_os_str()]);
    command
}
