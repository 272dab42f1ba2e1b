//! Measures a real forwarder under a long list of endpoints: a stand-in for discovery and one endpoint on loopback, and
//! a client that submits messages all the while.
//!
//! `cargo run --release --example long_list -- endpoint/release/reeddock 320000 [known]`
//!
//! With `known` the list stands in the configuration instead, and discovery tells changes only. Prints one JSON object a line. Ends the forwarder that it
//! started.

use std::error::Error;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{mpsc, Arc};
use std::thread;
use std::time::{Duration, Instant};

type Fallible<T> = Result<T, Box<dyn Error>>;

/// Between two hand-ins of the client.
const HAND_IN_EVERY: Duration = Duration::from_millis(10);
/// Changes that are told one by one, and the time between two.
const CHANGES: u64 = 200;
const CHANGE_EVERY: Duration = Duration::from_millis(20);
/// The published rate of changes: 6,100 a day.
const IDLE_EVERY: Duration = Duration::from_secs(14);
const IDLE_ROUNDS: u32 = 1;
/// Empty lines come this often.
const HEARTBEAT: Duration = Duration::from_secs(2);
const GIVE_UP: Duration = Duration::from_secs(120);

/// The forwarder that is measured; ended with this.
struct ForwarderProcess {
    child: Child,
    folder: PathBuf,
}

impl Drop for ForwarderProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl ForwarderProcess {
    /// Kilobytes from the system's account of the process.
    fn kilobytes(&self, field: &str) -> Fallible<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = status.lines().find_map(|line| line.strip_prefix(field)).ok_or("no such field")?;
        Ok(line.trim_matches([':', '\t', ' ', 'k', 'B']).parse()?)
    }

    /// Processor time so far.
    fn processor(&self) -> Fallible<Duration> {
        let account = std::fs::read_to_string(format!("/proc/{}/schedstat", self.child.id()))?;
        let nanoseconds = account.split(' ').next().ok_or("no schedstat")?;
        Ok(Duration::from_nanos(nanoseconds.parse()?))
    }
}

fn entry(number: usize, at: SocketAddr, state: &str) -> String {
    format!(
        r#"{{"instanceId":"s-{number:08x}","hostPort":"{at}","zone":"zone-{}","machineType":"m2","cell":{number},"lifecycle":"{state}","weight":1.0,"startedAtMs":0}}"#,
        number % 7
    )
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, (number >> 16) as u8, (number >> 8) as u8, number as u8], 9000))
}

/// Writes a whole list in pieces; all but the first entry are of endpoints that nobody sends to.
fn write_list(to: &mut impl Write, endpoints: usize, first: SocketAddr) -> std::io::Result<u64> {
    let mut bytes = 0;
    let mut text = r#"{"generation":41,"reset":true,"instances":["#.to_owned();
    for number in 0..endpoints {
        text += if number == 0 { "" } else { "," };
        text += &entry(number, if number == 0 { first } else { address(number) }, "Ready");
        if text.len() > 60_000 {
            bytes += text.len() as u64;
            to.write_all(text.as_bytes())?;
            text.clear();
        }
    }
    text += "]}";
    to.write_all(text.as_bytes())?;
    Ok(bytes + text.len() as u64)
}

/// Writes each piece as a chunk.
struct Chunked<'s>(&'s TcpStream);

impl Write for Chunked<'_> {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.write_all(format!("{:x}\r\n", bytes.len()).as_bytes())?;
        self.0.write_all(bytes)?;
        self.0.write_all(b"\r\n")?;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        self.0.flush()
    }
}

/// Reads one message and says its first line.
fn read_message(stream: &mut BufReader<TcpStream>) -> Option<String> {
    let (mut first, mut length) = (String::new(), 0);
    if stream.read_line(&mut first).ok()? == 0 {
        return None;
    }
    loop {
        let mut line = String::new();
        stream.read_line(&mut line).ok()?;
        if line.trim().is_empty() {
            break;
        }
        if let Some(told) = line.to_ascii_lowercase().strip_prefix("content-length:") {
            length = told.trim().parse().ok()?;
        }
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some(format!("{} {}", first.trim(), String::from_utf8_lossy(&body).trim()))
}

/// An endpoint that answers all that it gets.
fn endpoint() -> Fallible<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let at = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                while read_message(&mut reader).is_some() {
                    let _ = writer.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
                }
            });
        }
    });
    Ok(at)
}

/// One message that was submitted, and when that was since the client began.
struct Submission {
    status: u16,
    took: Duration,
    at: Duration,
}

/// Hands messages in until told to end; says how long each answer took.
fn client(at: SocketAddr, ends: Arc<AtomicBool>) -> Vec<Submission> {
    let (mut answers, began) = (Vec::new(), Instant::now());
    let Ok(stream) = TcpStream::connect(at) else { return answers };
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return answers };
    let mut reader = BufReader::new(stream);
    for number in 0.. {
        if ends.load(Ordering::Relaxed) {
            break;
        }
        let request = format!(
            "POST /api HTTP/1.1\r\nHost: a\r\nX-Call-Id: {number:016x}\r\nX-Call-Class: update\r\nX-Budget: 10\r\n\
             X-Route-To: dest=0\r\nContent-Length: 4\r\n\r\nbody"
        );
        let start = Instant::now();
        if writer.write_all(request.as_bytes()).is_err() {
            break;
        }
        let Some(answer) = read_message(&mut reader) else { break };
        let status = answer.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or_default();
        answers.push(Submission { status, took: start.elapsed(), at: start - began });
        thread::sleep(HAND_IN_EVERY.saturating_sub(start.elapsed()));
    }
    answers
}

fn health(at: SocketAddr) -> Fallible<String> {
    let mut stream = TcpStream::connect(at)?;
    stream.write_all(b"GET /healthz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")?;
    read_message(&mut BufReader::new(stream)).ok_or_else(|| "no answer".into())
}

fn start(
    program: &Path,
    discovery: SocketAddr,
    listen: SocketAddr,
    known: Option<(usize, SocketAddr)>,
) -> Fallible<ForwarderProcess> {
    let folder = std::env::temp_dir().join(format!("reeddock-long-list-{}", std::process::id()));
    std::fs::create_dir_all(folder.join("state"))?;
    let file = folder.join("config.json");
    let mut config = std::fs::File::create(&file)?;
    write!(
        config,
        r#"{{"listen":"{listen}","discovery":"{discovery}","seed":"1f","limits":{{"memory_mb":128,"sockets":256,"disk_mb":3}},
        "settings":{{"balancers":1000,"az":"zone-0","tickUs":5000,"kinds":["m2"],
        "classes":[{{"name":"update","effect":"idempotent","onTimeUs":2000000,"giveUpUs":20000000}}],
        "familyInfo":{{"maxCalls":64,"batchByKind":[1],"kindApart":[false]}},
        "policyLimits":{{"openCap":1000,"attemptsCap":8,"mayDuplicate":false,"connIdleUs":15000000}}}}"#
    )?;
    if let Some((endpoints, first)) = known {
        write!(config, r#","known":"#)?;
        write_list(&mut config, endpoints, first)?;
    }
    write!(config, "}}")?;
    drop(config);
    let child = Command::new(program)
        .args(["serve".as_ref(), "--config".as_ref(), file.as_os_str()])
        .args(["--log", "warn", "--state"])
        .arg(folder.join("state"))
        .stdin(Stdio::null())
        .spawn()?;
    Ok(ForwarderProcess { child, folder })
}

fn main() -> Fallible<()> {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let [program, endpoints, rest @ ..] = &words[..] else {
        return Err("usage: long_list PROGRAM TARGETS [known]".into());
    };
    let endpoints: usize = endpoints.parse()?;
    let first = endpoint()?;
    let discovery = TcpListener::bind("127.0.0.1:0")?;
    let listen = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
    let known = (rest == ["known"]).then_some((endpoints, first));
    let started = Instant::now();
    let forwarder = start(Path::new(program), discovery.local_addr()?, listen, known)?;
    let mut watch = watched(&discovery)?;
    while health(listen).is_err() {
        if started.elapsed() > GIVE_UP {
            return Err("the forwarder never serves".into());
        }
        thread::sleep(Duration::from_millis(2));
    }
    println!(
        r#"{{"ready_ms":{},"rss_kb":{},"peak_kb":{},"processor_ms":{}}}"#,
        started.elapsed().as_millis(),
        forwarder.kilobytes("VmRSS")?,
        forwarder.kilobytes("VmHWM")?,
        forwarder.processor()?.as_millis()
    );
    if known.is_none() {
        load(&forwarder, &mut watch, endpoints, first, listen)?;
    }
    changes(&forwarder, &mut watch)?;
    idle(&forwarder, &mut watch)
}

/// The watch that the forwarder opens; what else it asks for is not answered.
fn watched(discovery: &TcpListener) -> Fallible<TcpStream> {
    loop {
        let (stream, _) = discovery.accept()?;
        let mut reader = BufReader::new(stream.try_clone()?);
        if read_message(&mut reader).is_some_and(|line| line.contains("stream=1")) {
            (&stream).write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")?;
            stream.set_nodelay(true)?;
            return Ok(stream);
        }
    }
}

fn load(
    forwarder: &ForwarderProcess,
    watch: &mut TcpStream,
    endpoints: usize,
    first: SocketAddr,
    listen: SocketAddr,
) -> Fallible<()> {
    let ends = Arc::new(AtomicBool::new(false));
    let client = {
        let ends = ends.clone();
        thread::spawn(move || client(listen, ends))
    };
    let (processor, start) = (forwarder.processor()?, Instant::now());
    let (told, bytes) = mpsc::channel();
    let writer = watch.try_clone()?;
    thread::spawn(move || {
        let written = write_list(&mut Chunked(&writer), endpoints, first);
        // The line's end tells the forwarder that the list is whole.
        let ended = Chunked(&writer).write_all(b"\n");
        let _ = told.send(written.and_then(|bytes| ended.map(|()| bytes)));
    });
    let bytes = bytes.recv_timeout(GIVE_UP)??;
    let written = start.elapsed();
    // A change that the forwarder shows: the health check says so only after the first list.
    while !health(listen)?.ends_with(" ok") {
        if start.elapsed() > GIVE_UP {
            return Err("the list is never in force".into());
        }
        thread::sleep(Duration::from_millis(5));
    }
    let in_force = start.elapsed();
    let processor = forwarder.processor()? - processor;
    ends.store(true, Ordering::Relaxed);
    let answers = client.join().map_err(|_| "the client failed")?;
    let refused = answers.iter().filter(|submit| submit.status != 202).count();
    let mut spans: Vec<Duration> = answers.iter().map(|submit| submit.took).collect();
    spans.sort();
    let at = |share: f64| {
        spans.get((spans.len() as f64 * share) as usize).or(spans.last()).copied().unwrap_or_default()
    };
    println!(
        r#"{{"targets":{endpoints},"bytes":{bytes},"written_ms":{},"in_force_ms":{},"processor_ms":{},"rss_kb":{},"peak_kb":{},"hand_ins":{},"not_202":{refused},"p50_ms":{:.2},"p99_ms":{:.2},"worst_ms":{:.2},"worst_at_ms":{}}}"#,
        written.as_millis(),
        in_force.as_millis(),
        processor.as_millis(),
        forwarder.kilobytes("VmRSS")?,
        forwarder.kilobytes("VmHWM")?,
        spans.len(),
        at(0.5).as_secs_f64() * 1e3,
        at(0.99).as_secs_f64() * 1e3,
        spans.last().copied().unwrap_or_default().as_secs_f64() * 1e3,
        answers.iter().max_by_key(|submit| submit.took).map_or(0, |worst| worst.at.as_millis()),
    );
    Ok(())
}

fn change(watch: &TcpStream, generation: u64) -> std::io::Result<()> {
    let number = 1 + generation as usize;
    let state = if generation.is_multiple_of(2) { "Ready" } else { "Terminating" };
    let entry = entry(number, address(number), state);
    let line = format!("{{\"generation\":{generation},\"reset\":false,\"instances\":[{entry}]}}\n");
    Chunked(watch).write_all(line.as_bytes())
}

/// What one change costs, told one by one; and what as long a time without any costs.
fn changes(forwarder: &ForwarderProcess, watch: &mut TcpStream) -> Fallible<()> {
    let span = CHANGE_EVERY * CHANGES as u32;
    let before = forwarder.processor()?;
    rest(watch, span)?;
    let quiet = forwarder.processor()? - before;
    let before = forwarder.processor()?;
    for number in 0..CHANGES {
        change(watch, 42 + number)?;
        thread::sleep(CHANGE_EVERY);
    }
    let busy = forwarder.processor()? - before;
    let each = (busy.as_secs_f64() - quiet.as_secs_f64()) / CHANGES as f64 * 1e6;
    println!(
        r#"{{"changes":{CHANGES},"processor_ms":{},"quiet_ms":{},"each_us":{each:.1},"rss_kb":{}}}"#,
        busy.as_millis(),
        quiet.as_millis(),
        forwarder.kilobytes("VmRSS")?
    );
    Ok(())
}

/// What the forwarder costs with a change each so often and nothing else.
fn idle(forwarder: &ForwarderProcess, watch: &mut TcpStream) -> Fallible<()> {
    let (before, start) = (forwarder.processor()?, Instant::now());
    for round in 0..IDLE_ROUNDS {
        change(watch, 1000 + u64::from(round))?;
        rest(watch, IDLE_EVERY)?;
    }
    let spent = forwarder.processor()? - before;
    println!(
        r#"{{"idle_s":{:.1},"processor_ms":{:.1},"share_of_a_core_percent":{:.3},"rss_kb":{},"peak_kb":{}}}"#,
        start.elapsed().as_secs_f64(),
        spent.as_secs_f64() * 1e3,
        spent.as_secs_f64() / start.elapsed().as_secs_f64() * 100.0,
        forwarder.kilobytes("VmRSS")?,
        forwarder.kilobytes("VmHWM")?
    );
    Ok(())
}

/// Only empty lines for so long.
fn rest(watch: &TcpStream, span: Duration) -> Fallible<()> {
    let until = Instant::now() + span;
    while Instant::now() < until {
        Chunked(watch).write_all(b"\n")?;
        thread::sleep(HEARTBEAT.min(until.saturating_duration_since(Instant::now())));
    }
    Ok(())
}
