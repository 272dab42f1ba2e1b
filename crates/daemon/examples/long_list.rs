//! Measures a forwarder process with a long endpoint list. Stubs of discovery and of one endpoint run on
//! loopback, and a client submits messages during the measurement.
//!
//! `cargo run --release --example long_list -- target/release/reeddock 320000 [known]`
//!
//! With `known` the list is part of the configuration, and discovery sends only changes. Results are printed
//! as one JSON object per line. The forwarder is killed at the end.

use std::error::Error;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{mpsc, Arc};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

type BoxResult<T> = Result<T, Box<dyn Error>>;

/// Interval at which the client submits messages.
const SUBMISSION_INTERVAL: Duration = Duration::from_millis(10);
/// Number of list changes that are sent one by one.
const CHANGES: u64 = 200;
/// Interval between list changes that are sent one by one.
const CHANGE_INTERVAL: Duration = Duration::from_millis(20);
/// Interval of list changes in the idle phase, which corresponds to about 6,100 changes a day.
const IDLE_CHANGE_INTERVAL: Duration = Duration::from_secs(14);
const IDLE_CHANGES: u32 = 1;
/// Interval at which discovery sends an empty line.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum duration of a step of the measurement; a longer step is a failure.
const STEP_TIMEOUT: Duration = Duration::from_secs(120);
/// Generation of the full list. Changes have the generations that follow.
const LIST_GENERATION: u64 = 41;
/// Generation of the first change in the idle phase.
const IDLE_GENERATION: u64 = 1000;
/// Size above which a piece of a list is written.
const PIECE_BYTES: usize = 60_000;

fn main() -> BoxResult<()> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [program, endpoints, rest @ ..] = &arguments[..] else {
        return Err("usage: long_list PROGRAM ENDPOINTS [known]".into());
    };
    let list = EndpointList { length: endpoints.parse()?, first: start_endpoint()? };
    let discovery = TcpListener::bind("127.0.0.1:0")?;
    let listen = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
    let has_cached_list = rest == ["known"];
    let started = Instant::now();
    let config =
        Config { listen, discovery: discovery.local_addr()?, list: has_cached_list.then_some(&list) };
    let forwarder = ForwarderProcess::start(Path::new(program), &config)?;
    let watch = accept_watch(&discovery)?;
    wait_until(
        "the health check of the forwarder did not respond in time",
        started,
        Duration::from_millis(2),
        || Ok(health(listen).is_ok()),
    )?;
    println!(
        r#"{{"ready_ms":{},"rss_kb":{},"peak_kb":{},"processor_ms":{}}}"#,
        started.elapsed().as_millis(),
        forwarder.resident_kilobytes()?,
        forwarder.peak_kilobytes()?,
        forwarder.processor_time()?.as_millis()
    );
    if !has_cached_list {
        measure_full_list(&forwarder, &watch, &list, listen)?;
    }
    measure_changes(&forwarder, &watch)?;
    measure_idle(&forwarder, &watch)
}

/// Polls a condition until it is true. Fails [`STEP_TIMEOUT`] after the start of the step.
fn wait_until(
    failure: &str,
    started: Instant,
    interval: Duration,
    mut condition: impl FnMut() -> BoxResult<bool>,
) -> BoxResult<()> {
    while !condition()? {
        if started.elapsed() > STEP_TIMEOUT {
            return Err(failure.into());
        }
        thread::sleep(interval);
    }
    Ok(())
}

/// Configuration of the forwarder.
struct Config<'l> {
    listen: SocketAddr,
    discovery: SocketAddr,
    /// Cached endpoint list; `None` if discovery sends the list.
    list: Option<&'l EndpointList>,
}

impl Config<'_> {
    fn write(&self, file: &Path) -> std::io::Result<()> {
        let mut out = std::fs::File::create(file)?;
        let (listen, discovery) = (self.listen, self.discovery);
        write!(
            out,
            r#"{{"listen":"{listen}","discovery":"{discovery}","seed":"1f","limits":{{"memory_mb":128,"sockets":256,"disk_mb":3}},
        "settings":{{"balancers":1000,"az":"zone-0","tickUs":5000,"kinds":["m2"],
        "classes":[{{"name":"update","effect":"idempotent","onTimeUs":2000000,"giveUpUs":20000000}}],
        "familyInfo":{{"maxCalls":64,"batchByKind":[1],"kindApart":[false]}},
        "policyLimits":{{"openCap":1000,"attemptsCap":8,"mayDuplicate":false,"connIdleUs":15000000}}}}"#
        )?;
        if let Some(list) = self.list {
            write!(out, r#","known":"#)?;
            list.write(&mut out)?;
        }
        write!(out, "}}")
    }
}

/// The measured forwarder. Dropping the value kills the process and removes its folder.
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
    fn start(program: &Path, config: &Config) -> BoxResult<ForwarderProcess> {
        let folder = std::env::temp_dir().join(format!("reeddock-long-list-{}", std::process::id()));
        let (state, file) = (folder.join("state"), folder.join("config.json"));
        std::fs::create_dir_all(&state)?;
        config.write(&file)?;
        let child = Command::new(program)
            .args(["serve".as_ref(), "--config".as_ref(), file.as_os_str()])
            .args(["--log", "warn", "--state"])
            .arg(state)
            .stdin(Stdio::null())
            .spawn()?;
        Ok(ForwarderProcess { child, folder })
    }

    fn resident_kilobytes(&self) -> BoxResult<u64> {
        self.status_kilobytes("VmRSS")
    }

    fn peak_kilobytes(&self) -> BoxResult<u64> {
        self.status_kilobytes("VmHWM")
    }

    fn status_kilobytes(&self, field: &str) -> BoxResult<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix(field))
            .ok_or("/proc/PID/status lacks the field VmRSS or VmHWM")?;
        Ok(line.trim_matches([':', '\t', ' ', 'k', 'B']).parse()?)
    }

    /// Returns the processor time since the start of the process.
    fn processor_time(&self) -> BoxResult<Duration> {
        let schedstat = std::fs::read_to_string(format!("/proc/{}/schedstat", self.child.id()))?;
        let nanoseconds = schedstat.split(' ').next().ok_or("/proc/PID/schedstat is empty")?;
        Ok(Duration::from_nanos(nanoseconds.parse()?))
    }
}

/// An endpoint list in which only the first endpoint has a reachable address and receives messages.
struct EndpointList {
    length: usize,
    first: SocketAddr,
}

impl EndpointList {
    /// Writes the list in pieces and returns its size in bytes.
    fn write(&self, out: &mut impl Write) -> std::io::Result<u64> {
        let mut bytes = 0;
        let mut piece = format!(r#"{{"generation":{LIST_GENERATION},"reset":true,"instances":["#);
        for number in 0..self.length {
            piece += if number == 0 { "" } else { "," };
            let address = if number == 0 { self.first } else { unused_address(number) };
            piece += &entry(number, address, "Ready");
            if piece.len() > PIECE_BYTES {
                bytes += piece.len() as u64;
                out.write_all(piece.as_bytes())?;
                piece.clear();
            }
        }
        piece += "]}";
        out.write_all(piece.as_bytes())?;
        Ok(bytes + piece.len() as u64)
    }
}

fn entry(number: usize, address: SocketAddr, lifecycle: &str) -> String {
    format!(
        r#"{{"instanceId":"s-{number:08x}","hostPort":"{address}","zone":"zone-{}","machineType":"m2","cell":{number},"lifecycle":"{lifecycle}","weight":1.0,"startedAtMs":0}}"#,
        number % 7
    )
}

/// Returns the address of an endpoint that receives no messages.
fn unused_address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, (number >> 16) as u8, (number >> 8) as u8, number as u8], 9000))
}

/// Discovery's side of a watch on the endpoint list. Each write sends one chunk of the response body.
struct Watch(TcpStream);

impl Write for &Watch {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let mut stream = &self.0;
        stream.write_all(format!("{:x}\r\n", bytes.len()).as_bytes())?;
        stream.write_all(bytes)?;
        stream.write_all(b"\r\n")?;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        (&self.0).flush()
    }
}

/// Waits for the forwarder to open a watch. Other requests are closed without a response.
fn accept_watch(discovery: &TcpListener) -> BoxResult<Arc<Watch>> {
    loop {
        let (mut stream, _) = discovery.accept()?;
        let mut reader = BufReader::new(stream.try_clone()?);
        if read_message(&mut reader).is_some_and(|message| message.contains("stream=1")) {
            stream.write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")?;
            stream.set_nodelay(true)?;
            return Ok(Arc::new(Watch(stream)));
        }
    }
}

impl Watch {
    fn send_change(&self, generation: u64) -> std::io::Result<()> {
        let number = 1 + generation as usize;
        let lifecycle = if generation.is_multiple_of(2) { "Ready" } else { "Terminating" };
        let entry = entry(number, unused_address(number), lifecycle);
        let line = format!("{{\"generation\":{generation},\"reset\":false,\"instances\":[{entry}]}}\n");
        let mut out = self;
        out.write_all(line.as_bytes())
    }

    /// Sends heartbeats for this duration.
    fn send_heartbeats(&self, duration: Duration) -> BoxResult<()> {
        let until = Instant::now() + duration;
        while Instant::now() < until {
            let mut out = self;
            out.write_all(b"\n")?;
            thread::sleep(HEARTBEAT_INTERVAL.min(until.saturating_duration_since(Instant::now())));
        }
        Ok(())
    }
}

/// Reads one HTTP message and returns its first line and body; `None` at the end of the connection.
fn read_message(stream: &mut BufReader<TcpStream>) -> Option<String> {
    let (mut first_line, mut length) = (String::new(), 0);
    if stream.read_line(&mut first_line).ok()? == 0 {
        return None;
    }
    loop {
        let mut line = String::new();
        stream.read_line(&mut line).ok()?;
        if line.trim().is_empty() {
            break;
        }
        if let Some(value) = line.to_ascii_lowercase().strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some(format!("{} {}", first_line.trim(), String::from_utf8_lossy(&body).trim()))
}

/// Starts an endpoint that responds with 200 to every request.
fn start_endpoint() -> BoxResult<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || answer_requests(stream));
        }
    });
    Ok(address)
}

fn answer_requests(stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while read_message(&mut reader).is_some() {
        let _ = writer.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
    }
}

/// Sends a health check and returns the status line and body of the response.
fn health(address: SocketAddr) -> BoxResult<String> {
    let mut stream = TcpStream::connect(address)?;
    stream.write_all(b"GET /healthz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")?;
    read_message(&mut BufReader::new(stream)).ok_or_else(|| "no response to the health check".into())
}

/// Result of one submission.
struct SubmissionResult {
    status: u16,
    latency: Duration,
    /// Time of the submission since the start of the client.
    submitted_at: Duration,
}

/// A client thread that submits a message every [`SUBMISSION_INTERVAL`] until stopped.
struct Client {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<Vec<SubmissionResult>>,
}

impl Client {
    fn start(forwarder: SocketAddr) -> Client {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        Client { stop, thread: thread::spawn(move || submit_until(forwarder, &stopped)) }
    }

    fn stop(self) -> BoxResult<Vec<SubmissionResult>> {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.join().map_err(|_| "the client thread panicked".into())
    }
}

fn submit_until(forwarder: SocketAddr, stopped: &AtomicBool) -> Vec<SubmissionResult> {
    let (mut results, started) = (Vec::new(), Instant::now());
    let Ok(stream) = TcpStream::connect(forwarder) else { return results };
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return results };
    let mut reader = BufReader::new(stream);
    for number in 0.. {
        if stopped.load(Ordering::Relaxed) {
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
        let Some(response) = read_message(&mut reader) else { break };
        let status = response.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or_default();
        results.push(SubmissionResult { status, latency: start.elapsed(), submitted_at: start - started });
        thread::sleep(SUBMISSION_INTERVAL.saturating_sub(start.elapsed()));
    }
    results
}

/// Summary of the submissions while the list was applied.
struct SubmissionSummary {
    count: usize,
    not_accepted: usize,
    /// Latencies in ascending order.
    latencies: Vec<Duration>,
    slowest_submitted_at: Duration,
}

impl From<Vec<SubmissionResult>> for SubmissionSummary {
    fn from(results: Vec<SubmissionResult>) -> SubmissionSummary {
        let mut latencies: Vec<Duration> = results.iter().map(|result| result.latency).collect();
        latencies.sort();
        let slowest = results.iter().max_by_key(|result| result.latency);
        SubmissionSummary {
            count: results.len(),
            not_accepted: results.iter().filter(|result| result.status != 202).count(),
            latencies,
            slowest_submitted_at: slowest.map(|result| result.submitted_at).unwrap_or_default(),
        }
    }
}

impl SubmissionSummary {
    /// Returns the latency quantile in milliseconds; `quantile` is in 0..=1.
    fn quantile_ms(&self, quantile: f64) -> f64 {
        let index = (self.latencies.len() as f64 * quantile) as usize;
        let latency = self.latencies.get(index).or(self.latencies.last()).copied();
        latency.unwrap_or_default().as_secs_f64() * 1e3
    }
}

/// Sends the full list over the watch, and measures duration, processor time, memory and the client's
/// latencies.
fn measure_full_list(
    forwarder: &ForwarderProcess,
    watch: &Arc<Watch>,
    list: &EndpointList,
    listen: SocketAddr,
) -> BoxResult<()> {
    let client = Client::start(listen);
    let (processor_before, start) = (forwarder.processor_time()?, Instant::now());
    let bytes = send_list(watch, list)?;
    let written = start.elapsed();
    // The body of the health check is exactly `ok` only after a list is applied.
    wait_until("the list was not applied in time", start, Duration::from_millis(5), || {
        Ok(health(listen)?.ends_with(" ok"))
    })?;
    let applied = start.elapsed();
    let processor = forwarder.processor_time()? - processor_before;
    let submissions = SubmissionSummary::from(client.stop()?);
    println!(
        r#"{{"targets":{},"bytes":{bytes},"written_ms":{},"in_force_ms":{},"processor_ms":{},"rss_kb":{},"peak_kb":{},"hand_ins":{},"not_202":{},"p50_ms":{:.2},"p99_ms":{:.2},"worst_ms":{:.2},"worst_at_ms":{}}}"#,
        list.length,
        written.as_millis(),
        applied.as_millis(),
        processor.as_millis(),
        forwarder.resident_kilobytes()?,
        forwarder.peak_kilobytes()?,
        submissions.count,
        submissions.not_accepted,
        submissions.quantile_ms(0.5),
        submissions.quantile_ms(0.99),
        submissions.quantile_ms(1.0),
        submissions.slowest_submitted_at.as_millis(),
    );
    Ok(())
}

/// Writes the full list to the watch in a thread, so that a blocked write times out. Returns the size in
/// bytes.
fn send_list(watch: &Arc<Watch>, list: &EndpointList) -> BoxResult<u64> {
    let (result, written) = mpsc::channel();
    let watch = watch.clone();
    let list = EndpointList { ..*list };
    thread::spawn(move || {
        let mut out = &*watch;
        let bytes = list.write(&mut out);
        // The line break marks the end of the list.
        let ended = out.write_all(b"\n");
        let _ = result.send(bytes.and_then(|bytes| ended.map(|()| bytes)));
    });
    Ok(written.recv_timeout(STEP_TIMEOUT)??)
}

/// Measures the processor time per change, as the difference between a phase with changes and one of equal
/// length without.
fn measure_changes(forwarder: &ForwarderProcess, watch: &Watch) -> BoxResult<()> {
    let before = forwarder.processor_time()?;
    watch.send_heartbeats(CHANGE_INTERVAL * CHANGES as u32)?;
    let without_changes = forwarder.processor_time()? - before;
    let before = forwarder.processor_time()?;
    for number in 0..CHANGES {
        watch.send_change(LIST_GENERATION + 1 + number)?;
        thread::sleep(CHANGE_INTERVAL);
    }
    let with_changes = forwarder.processor_time()? - before;
    let each_us = (with_changes.as_secs_f64() - without_changes.as_secs_f64()) / CHANGES as f64 * 1e6;
    println!(
        r#"{{"changes":{CHANGES},"processor_ms":{},"quiet_ms":{},"each_us":{each_us:.1},"rss_kb":{}}}"#,
        with_changes.as_millis(),
        without_changes.as_millis(),
        forwarder.resident_kilobytes()?
    );
    Ok(())
}

/// Measures the processor time and memory of a forwarder that receives no messages and a list change every
/// [`IDLE_CHANGE_INTERVAL`].
fn measure_idle(forwarder: &ForwarderProcess, watch: &Watch) -> BoxResult<()> {
    let (before, start) = (forwarder.processor_time()?, Instant::now());
    for number in 0..IDLE_CHANGES {
        watch.send_change(IDLE_GENERATION + u64::from(number))?;
        watch.send_heartbeats(IDLE_CHANGE_INTERVAL)?;
    }
    let processor_time = forwarder.processor_time()? - before;
    println!(
        r#"{{"idle_s":{:.1},"processor_ms":{:.1},"share_of_a_core_percent":{:.3},"rss_kb":{},"peak_kb":{}}}"#,
        start.elapsed().as_secs_f64(),
        processor_time.as_secs_f64() * 1e3,
        processor_time.as_secs_f64() / start.elapsed().as_secs_f64() * 100.0,
        forwarder.resident_kilobytes()?,
        forwarder.peak_kilobytes()?
    );
    Ok(())
}
