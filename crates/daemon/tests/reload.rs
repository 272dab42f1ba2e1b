//! Reload of the configuration on SIGHUP.

#[path = "support/process.rs"]
mod process;
#[path = "support/signal.rs"]
mod signal;
#[path = "support/temp_folder.rs"]
mod temp_folder;

use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::Stdio;
use std::thread::sleep;
use std::time::{Duration, Instant};

use process::{serve_command, KillOnDrop};
use signal::send_signal;
use temp_folder::TempFolder;

/// Accepts a connection at this discovery address, and returns the first bytes of the request.
fn first_request(discovery: &TcpListener) -> String {
    discovery.set_nonblocking(true).unwrap();
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(10) {
        if let Ok((mut stream, _)) = discovery.accept() {
            stream.set_nonblocking(false).unwrap();
            let mut request = [0; 20];
            stream.read_exact(&mut request).unwrap();
            return String::from_utf8_lossy(&request).into_owned();
        }
        sleep(Duration::from_millis(10));
    }
    panic!("discovery received no request within 10 s");
}

fn write_config(file: &Path, discovery: SocketAddr) {
    let limits = r#"{"memory_mb":48,"sockets":256,"disk_mb":3}"#;
    let config = format!(
        r#"{{"listen":"127.0.0.1:0","discovery":"{discovery}","seed":"1f","limits":{limits},"settings":{{}}}}"#
    );
    std::fs::write(file, config).unwrap();
}

#[test]
fn sighup_moves_watch_to_new_address_and_ignores_malformed_configuration() {
    let folder = TempFolder::new("reload");
    let file = folder.path().join("config.json");
    let listen = || TcpListener::bind("127.0.0.1:0").unwrap();
    let (old, new) = (listen(), listen());
    write_config(&file, old.local_addr().unwrap());
    let spawned = serve_command(&file, folder.path()).stderr(Stdio::null()).spawn();
    let mut process = KillOnDrop(spawned.unwrap());
    assert!(first_request(&old).starts_with("GET /v1/servers?"));
    std::fs::write(&file, "half a fi").unwrap();
    send_signal(&process.0, "-HUP");
    sleep(Duration::from_millis(200));
    assert!(process.0.try_wait().unwrap().is_none(), "the process ended");
    write_config(&file, new.local_addr().unwrap());
    send_signal(&process.0, "-HUP");
    assert!(first_request(&new).starts_with("GET /v1/servers?"));
}
