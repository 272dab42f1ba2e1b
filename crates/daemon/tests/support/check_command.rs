//! Runs the command `reeddock check` on a configuration text.

use std::process::{Command, Output};

use crate::temp_folder::TempFolder;

/// Name of the checked file, which errors have to contain.
const CONFIG_FILE: &str = "checked-config.json";

/// Output of `reeddock check`.
pub struct CheckResult(Output);

/// Writes a configuration to a file and runs `reeddock check` on it.
pub fn check(config: &str) -> CheckResult {
    let folder = TempFolder::new("check");
    let file = folder.path().join(CONFIG_FILE);
    std::fs::write(&file, config).unwrap();
    let command = ["check".as_ref(), "--config".as_ref(), file.as_os_str()];
    CheckResult(Command::new(env!("CARGO_BIN_EXE_reeddock")).args(command).output().unwrap())
}

impl CheckResult {
    /// Asserts that the check succeeded, and returns its standard output.
    pub fn expect_success(&self, case: &str) -> String {
        assert!(self.0.status.success(), "{case}: {}", String::from_utf8_lossy(&self.0.stderr));
        String::from_utf8_lossy(&self.0.stdout).into_owned()
    }

    /// Asserts that the check failed with one line that names the file, and returns the line.
    pub fn expect_one_line_error(&self, case: &str) -> String {
        let error = String::from_utf8_lossy(&self.0.stderr).into_owned();
        assert_eq!(self.0.status.code(), Some(1), "{case}: {error}");
        assert_eq!(error.lines().count(), 1, "{case}: {error}");
        assert!(error.starts_with("reeddock: ") && error.contains(CONFIG_FILE), "{case}: {error}");
        error
    }
}
