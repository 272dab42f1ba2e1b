//! What the program says of the list of endpoints in its log.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::time::Duration;

/// A program whose log is read; ended with the test, however that goes.
struct Running {
    child: Child,
    folder: PathBuf,
    log: Receiver<String>,
}

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Running {
    /// Serves with a known list of so many endpoints, and a discovery that refuses connections.
    fn start(name: &str, endpoints: usize) -> Running {
        let folder = std::env::temp_dir().join(format!("reeddock-lists-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let file = folder.join("config.json");
        let discovery = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        let entries: Vec<String> = (0..endpoints)
            .map(|n| {
                format!(r#"{{"instanceId":"s-{n}","hostPort":"127.0.0.1:9","cell":{n},"lifecycle":"Ready"}}"#)
            })
            .collect();
        let config = format!(
            r#"{{"listen":"127.0.0.1:0","discovery":"{discovery}","seed":"1f","settings":{{}},
                "limits":{{"memory_mb":48,"sockets":256,"disk_mb":3}},
                "known":{{"generation":4,"reset":true,"instances":[{}]}}}}"#,
            entries.join(",")
        );
        std::fs::write(&file, config).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_reeddock"))
            .args(["serve".as_ref(), "--config".as_ref(), file.as_os_str()])
            .args(["--state".as_ref(), folder.as_os_str()])
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let (lines, log) = channel();
        let written = BufReader::new(child.stderr.take().unwrap());
        std::thread::spawn(move || {
            written.lines().map_while(Result::ok).try_for_each(|line| lines.send(line))
        });
        Running { child, folder, log }
    }

    /// The lines up to one with these words.
    fn log_until(&self, words: &str) -> Vec<String> {
        let mut lines: Vec<String> = Vec::new();
        while !lines.last().is_some_and(|line| line.contains(words)) {
            let line = self.log.recv_timeout(Duration::from_secs(20));
            lines.push(line.unwrap_or_else(|_| panic!("never said: {words}; but {lines:?}")));
        }
        lines
    }
}

/// What the health check of a program answers that says here where it listens.
fn health(serving: &str) -> String {
    let at = serving.split("listen=").nth(1).unwrap().trim();
    let mut stream = TcpStream::connect(at).unwrap();
    stream.write_all(b"GET /healthz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n").unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    answer
}

fn count(lines: &[String], words: &str) -> usize {
    lines.iter().filter(|line| line.contains(words)).count()
}

#[test]
fn a_long_list_has_one_line_and_not_one_for_each_target() {
    let running = Running::start("long", 300);
    let lines = running.log_until("serving");
    assert_eq!(count(&lines, "endpoint listed endpoint=EndpointId("), 100);
    assert_eq!(
        count(&lines, "endpoint list applied generation=4 whole=true entries=300 new_endpoints=300"),
        1
    );
    let answer = health(lines.last().unwrap());
    assert!(answer.starts_with("HTTP/1.1 200 ") && answer.ends_with("\r\n\r\nok\n"), "{answer}");
}

#[test]
fn a_forwarder_without_any_list_says_so_and_is_used_all_the_same() {
    let running = Running::start("none", 0);
    let lines = running.log_until("serving");
    assert_eq!(count(&lines, "no cached endpoint list, messages wait for discovery"), 1);
    let answer = health(lines.last().unwrap());
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
    assert!(answer.ends_with("\r\n\r\nok; no target list yet: discovery has told none\n"), "{answer}");
    running.log_until(
        "no endpoint list, nothing can be delivered fault=\"no target list yet: discovery has told none\"",
    );
}
