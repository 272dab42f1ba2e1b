//! What the program does on signals.

use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Ended with the test, however that goes.
struct Running(Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Running {
    fn hangup(&self) {
        let told = Command::new("kill").args(["-HUP", &self.0.id().to_string()]).status();
        assert!(told.unwrap().success());
    }
}

/// What a forwarder asks for first at this address.
fn watched(discovery: &TcpListener) -> String {
    discovery.set_nonblocking(true).unwrap();
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(10) {
        if let Ok((mut stream, _)) = discovery.accept() {
            stream.set_nonblocking(false).unwrap();
            let mut asked = [0; 20];
            stream.read_exact(&mut asked).unwrap();
            return String::from_utf8_lossy(&asked).into_owned();
        }
        sleep(Duration::from_millis(10));
    }
    panic!("nobody came");
}

#[test]
fn a_hangup_moves_the_watch_and_what_cannot_be_read_changes_nothing() {
    let folder = std::env::temp_dir().join(format!("reeddock-signals-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let file = folder.join("duties.json");
    let listen = || TcpListener::bind("127.0.0.1:0").unwrap();
    let (old, new) = (listen(), listen());
    let tell = |discovery: SocketAddr| {
        let limits = r#"{"memory_mb":48,"sockets":256,"disk_mb":3}"#;
        let duties = format!(
            r#"{{"listen":"127.0.0.1:0","discovery":"{discovery}","seed":"1f","limits":{limits},"settings":{{}}}}"#
        );
        std::fs::write(&file, duties).unwrap();
    };
    tell(old.local_addr().unwrap());
    let program = Command::new(env!("CARGO_BIN_EXE_reeddock"))
        .args(["serve".as_ref(), "--config".as_ref(), file.as_os_str()])
        .args(["--state".as_ref(), folder.as_os_str()])
        .stderr(Stdio::null())
        .spawn();
    let mut running = Running(program.unwrap());
    assert!(watched(&old).starts_with("GET /v1/servers?"));
    std::fs::write(&file, "half a fi").unwrap();
    running.hangup();
    sleep(Duration::from_millis(200));
    assert!(running.0.try_wait().unwrap().is_none(), "still there");
    tell(new.local_addr().unwrap());
    running.hangup();
    assert!(watched(&new).starts_with("GET /v1/servers?"));
    drop(running);
    let _ = std::fs::remove_dir_all(&folder);
}
