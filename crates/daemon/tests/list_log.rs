//! Log lines about the endpoint list, and the health check with and without a list.

#[path = "support/health.rs"]
mod health;
#[path = "support/log_line.rs"]
mod log_line;
#[path = "support/process.rs"]
mod process;
#[path = "support/temp_folder.rs"]
mod temp_folder;

use std::io::{BufRead, BufReader};
use std::net::TcpListener;
use std::process::Stdio;
use std::sync::mpsc::{channel, Receiver};
use std::time::Duration;

use health::health_check;
use log_line::listening_address;
use process::{serve_command, KillOnDrop};
use temp_folder::TempFolder;

/// Log messages that the tests search for.
const SERVING: &str = "serving";
const ENDPOINT_LISTED: &str = "endpoint listed endpoint=EndpointId(";
const LIST_APPLIED: &str = "endpoint list applied generation=4 whole=true entries=300 new_endpoints=300";
const NO_CACHED_LIST: &str = "no cached endpoint list, messages wait for discovery";
const NO_LIST_FOR_DELIVERY: &str =
    "no endpoint list, nothing can be delivered error=\"no target list yet: discovery has told none\"";

const LOG_TIMEOUT: Duration = Duration::from_secs(20);

/// A forwarder process whose log is captured.
struct LoggedForwarder {
    _process: KillOnDrop,
    _folder: TempFolder,
    log: Receiver<String>,
}

impl LoggedForwarder {
    /// Starts a forwarder with a cached list of this many endpoints. Discovery refuses connections.
    fn start(name: &str, endpoints: usize) -> LoggedForwarder {
        let folder = TempFolder::new(name);
        let file = folder.path().join("config.json");
        std::fs::write(&file, config(endpoints)).unwrap();
        let spawned = serve_command(&file, folder.path()).stderr(Stdio::piped()).spawn();
        let mut process = KillOnDrop(spawned.unwrap());
        let (lines, log) = channel();
        let stderr = BufReader::new(process.0.stderr.take().unwrap());
        std::thread::spawn(move || {
            stderr.lines().map_while(Result::ok).try_for_each(|line| lines.send(line))
        });
        LoggedForwarder { _process: process, _folder: folder, log }
    }

    /// Returns the log lines up to the first one with this text.
    fn read_log_until(&self, text: &str) -> Vec<String> {
        let mut lines: Vec<String> = Vec::new();
        while !lines.last().is_some_and(|line| line.contains(text)) {
            let line = self.log.recv_timeout(LOG_TIMEOUT);
            lines.push(line.unwrap_or_else(|_| panic!("not logged: {text}; logged: {lines:?}")));
        }
        lines
    }
}

fn config(endpoints: usize) -> String {
    let discovery = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let entry =
        |n| format!(r#"{{"instanceId":"s-{n}","hostPort":"127.0.0.1:9","cell":{n},"lifecycle":"Ready"}}"#);
    let entries: Vec<String> = (0..endpoints).map(entry).collect();
    format!(
        r#"{{"listen":"127.0.0.1:0","discovery":"{discovery}","seed":"1f","settings":{{}},
            "limits":{{"memory_mb":48,"sockets":256,"disk_mb":3}},
            "known":{{"generation":4,"reset":true,"instances":[{}]}}}}"#,
        entries.join(",")
    )
}

/// Returns the health check's response of the forwarder that logged this `serving` line.
fn health_response(serving: &str) -> String {
    health_check(listening_address(serving).expect("the line has no listening address"))
}

fn count_lines(lines: &[String], text: &str) -> usize {
    lines.iter().filter(|line| line.contains(text)).count()
}

#[test]
fn long_list_logs_one_summary_and_limited_number_of_endpoints() {
    let forwarder = LoggedForwarder::start("long-list", 300);
    let lines = forwarder.read_log_until(SERVING);
    assert_eq!(count_lines(&lines, ENDPOINT_LISTED), 100);
    assert_eq!(count_lines(&lines, LIST_APPLIED), 1);
    let response = health_response(lines.last().unwrap());
    assert!(
        response.starts_with("HTTP/1.1 200 ") && response.ends_with("\r\n\r\nok\n"),
        "response to the health check: {response}"
    );
}

#[test]
fn missing_endpoint_list_is_logged_and_forwarder_stays_healthy() {
    let forwarder = LoggedForwarder::start("no-list", 0);
    let lines = forwarder.read_log_until(SERVING);
    assert_eq!(count_lines(&lines, NO_CACHED_LIST), 1);
    let response = health_response(lines.last().unwrap());
    assert!(response.starts_with("HTTP/1.1 200 "), "response to the health check: {response}");
    assert!(
        response.ends_with("\r\n\r\nok; no target list yet: discovery has told none\n"),
        "response to the health check: {response}"
    );
    forwarder.read_log_until(NO_LIST_FOR_DELIVERY);
}
