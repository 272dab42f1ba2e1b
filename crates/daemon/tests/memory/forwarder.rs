//! A forwarder process whose memory and responses a test observes.

use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::Stdio;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use serde_json::{json, Value};

use crate::deployment::{Deployment, AT_MOST_ONCE};
use crate::log_line::listening_address;
use crate::platform::{NoticeResponse, Platform};
use crate::private_memory::private_memory;
use crate::process::{serve_command, KillOnDrop};
use crate::temp_folder::TempFolder;
use crate::wait::wait_for;

/// The number of clients that submit messages at the same time.
const SUBMITTING_CLIENTS: usize = 8;

/// A running forwarder, killed when dropped.
pub struct ForwarderProcess {
    process: KillOnDrop,
    pub address: SocketAddr,
    _folder: TempFolder,
}

impl ForwarderProcess {
    /// Starts a forwarder with the configuration that `config` returns for its listening address.
    ///
    /// The operating system selects the port, and the log tells it. A port that a test selects may be taken by one
    /// of the many connections of other tests before the forwarder listens on it.
    pub fn start(name: &str, config: impl FnOnce(SocketAddr) -> Value) -> ForwarderProcess {
        let folder = TempFolder::new(name);
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let file = folder.path().join("configuration.json");
        std::fs::write(&file, config(any_port).to_string()).unwrap();
        let log_file = folder.path().join("log");
        let log = File::create(&log_file).unwrap();
        let spawned = serve_command(&file, folder.path()).stdout(Stdio::null()).stderr(log).spawn();
        let process = KillOnDrop(spawned.unwrap());
        let address = wait_for("the forwarder to listen", || {
            let log = std::fs::read_to_string(&log_file).unwrap();
            log.lines().find_map(listening_address)
        });
        ForwarderProcess { process, address, _folder: folder }
    }

    /// Starts a forwarder whose cached list has the deployment's endpoints at this address. A platform that
    /// acknowledges notices confirms the list.
    pub fn start_with_confirmed_list(
        name: &str,
        deployment: Deployment,
        endpoint: SocketAddr,
    ) -> ForwarderProcess {
        let platform = Platform::new(NoticeResponse::Acknowledge);
        platform.publish(json!({"generation": 1, "reset": false, "instances": []}).to_string());
        let platform_address = platform.start();
        let cached_list = deployment.endpoint_list(1, endpoint);
        ForwarderProcess::start(name, |listen| deployment.config(listen, platform_address, &cached_list))
    }

    /// Returns the private memory of the process in bytes.
    pub fn private_memory(&self) -> u64 {
        private_memory(&self.process.0)
    }

    /// Submits messages without bodies on one connection, each given by its id and its destination. All must be
    /// accepted.
    pub fn submit_all(&self, messages: impl IntoIterator<Item = (String, u64)>) {
        let mut stream = TcpStream::connect(self.address).unwrap();
        let mut responses = BufReader::new(stream.try_clone().unwrap());
        for (id, destination) in messages {
            stream.write_all(submission(&id, destination, "").as_bytes()).unwrap();
            let status_line = read_status_line(&mut responses);
            assert!(status_line.contains(" 202 "), "message {id}: expected 202, found {status_line}");
        }
    }

    /// Submits messages to these many destinations in turn, on several connections at the same time, until one is
    /// rejected or this number is reached. Returns the number of accepted messages.
    pub fn submit_until_rejected(&self, destinations: u64, body: &str, max_messages: u64) -> u64 {
        let next_number = AtomicU64::new(0);
        let accepted = AtomicU64::new(0);
        let rejected = AtomicBool::new(false);
        std::thread::scope(|scope| {
            for _ in 0..SUBMITTING_CLIENTS {
                scope.spawn(|| {
                    let mut stream = TcpStream::connect(self.address).unwrap();
                    let mut responses = BufReader::new(stream.try_clone().unwrap());
                    while !rejected.load(Ordering::Relaxed) {
                        let number = next_number.fetch_add(1, Ordering::Relaxed);
                        if number >= max_messages {
                            return;
                        }
                        let request = submission(&format!("m{number}"), number % destinations, body);
                        stream.write_all(request.as_bytes()).unwrap();
                        let status_line = read_status_line(&mut responses);
                        if status_line.contains(" 503 ") {
                            rejected.store(true, Ordering::Relaxed);
                            return;
                        }
                        assert!(
                            status_line.contains(" 202 "),
                            "message {number}: expected 202 or 503, found {status_line}"
                        );
                        accepted.fetch_add(1, Ordering::Relaxed);
                    }
                });
            }
        });
        accepted.into_inner()
    }
}

/// Returns a client's request to deliver a message.
pub fn submission(id: &str, destination: u64, body: &str) -> String {
    format!(
        "POST /api HTTP/1.1\r\nHost: a\r\nX-Call-Id: {id}\r\nX-Call-Class: {AT_MOST_ONCE}\r\nX-Budget: 15\r\n\
         X-Route-To: dest={destination}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Reads the head of a response without a body, and returns its status line.
fn read_status_line(stream: &mut impl BufRead) -> String {
    let mut lines = stream.lines().map_while(Result::ok).take_while(|line| !line.is_empty());
    let status_line = lines.next().unwrap_or_default();
    lines.for_each(drop);
    status_line
}
