//! A forwarder process whose memory, log and responses a test observes.

use std::fs::File;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::Stdio;

use serde_json::Value;

use crate::private_memory::private_memory;
use crate::process::{serve_command, KillOnDrop};
use crate::temp_folder::TempFolder;
use crate::wait::wait_for;

const LOG_FILE: &str = "log";

/// A running forwarder, killed when dropped.
pub struct ForwarderProcess {
    pub process: KillOnDrop,
    pub address: SocketAddr,
    folder: TempFolder,
}

impl ForwarderProcess {
    /// Starts a forwarder with the configuration that `config` returns for its listening address.
    pub fn start(name: &str, config: impl FnOnce(SocketAddr) -> Value) -> ForwarderProcess {
        let folder = TempFolder::new(name);
        // The port was just released, and is not assigned again immediately.
        let address = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        let file = folder.path().join("configuration.json");
        std::fs::write(&file, config(address).to_string()).unwrap();
        let log = File::create(folder.path().join(LOG_FILE)).unwrap();
        let spawned = serve_command(&file, folder.path()).stdout(Stdio::null()).stderr(log).spawn();
        let forwarder = ForwarderProcess { process: KillOnDrop(spawned.unwrap()), folder, address };
        wait_for("the forwarder to listen", || TcpStream::connect(address).ok());
        forwarder
    }

    /// Returns the private memory of the process in bytes.
    pub fn private_memory(&self) -> u64 {
        private_memory(&self.process.0)
    }

    /// Returns what the process has logged so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.path().join(LOG_FILE)).unwrap()
    }
}
