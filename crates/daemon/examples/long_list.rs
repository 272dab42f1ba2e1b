//! Measures a real forwarder under a long endpoint list: stand-ins for discovery and for one endpoint on loopback, and
//! a client that submits messages all the while.
//!
//! `cargo run --release --example long_list -- target/release/reeddock 320000 [known]`
//!
//! With `known` the list stands in the configuration, and discovery sends changes only. Prints one JSON object a line.
//! Ends the forwarder that it started.

use std::error::Error;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{mpsc, Arc};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

type Fallible<T> = Result<T, Box<dyn Error>>;

/// The client submits a message this often.
const SUBMISSION_INTERVAL: Duration = Duration::from_millis(10);
/// Changes of the list that are sent one by one, and the time between two.
const CHANGES: u64 = 200;
const CHANGE_INTERVAL: Duration = Duration::from_millis(20);
/// The published rate of changes: 6,100 a day.
const IDLE_CHANGE_INTERVAL: Duration = Duration::from_secs(14);
const IDLE_CHANGES: u32 = 1;
/// Discovery sends an empty line this often.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// No step takes longer, or the measurement fails.
const STEP_TIMEOUT: Duration = Duration::from_secs(120);
/// The whole list has this generation, and the changes those after it.
const LIST_GENERATION: u64 = 41;
/// The changes of the idle phase begin with this generation.
const IDLE_GENERATION: u64 = 1000;
/// A long list is written in pieces of about this many bytes.
const PIECE_BYTES: usize = 60_000;

fn main() -> Fallible<()> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [program, endpoints, rest @ ..] = &arguments[..] else {
        return Err("usage: long_list PROGRAM TARGETS [known]".into());
    };
    let list = EndpointList { length: endpoints.parse()?, first: start_endpoint()? };
    let discovery = TcpListener::bind("127.0.0.1:0")?;
    let listen = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
    let list_in_config = rest == ["known"];
    let started = Instant::now();
    let config = Config { listen, discovery: discovery.local_addr()?, list: list_in_config.then_some(&list) };
    let forwarder = ForwarderProcess::start(Path::new(program), &config)?;
    let watch = accept_watch(&discovery)?;
    wait_until("the forwarder never serves", started, Duration::from_millis(2), || {
        Ok(health(listen).is_ok())
    })?;
    println!(
        r#"{{"ready_ms":{},"rss_kb":{},"peak_kb":{},"processor_ms":{}}}"#,
        started.elapsed().as_millis(),
        forwarder.resident_kilobytes()?,
        forwarder.peak_kilobytes()?,
        forwarder.processor_time()?.as_millis()
    );
    if !list_in_config {
        measure_whole_list(&forwarder, &watch, &list, listen)?;
    }
    measure_changes(&forwarder, &watch)?;
    measure_idle(&forwarder, &watch)
}

/// Checks a condition at an interval until it holds; fails [`STEP_TIMEOUT`] after the step was started.
fn wait_until(
    failure: &str,
    started: Instant,
    interval: Duration,
    mut condition: impl FnMut() -> Fallible<bool>,
) -> Fallible<()> {
    while !condition()? {
        if started.elapsed() > STEP_TIMEOUT {
            return Err(failure.into());
        }
        thread::sleep(interval);
    }
    Ok(())
}

/// What the forwarder's configuration says.
struct Config<'l> {
    listen: SocketAddr,
    discovery: SocketAddr,
    /// The list that stands in it, if one does.
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

/// The forwarder that is measured. It is killed, and its folder removed, when this is dropped.
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
    fn start(program: &Path, config: &Config) -> Fallible<ForwarderProcess> {
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

    fn resident_kilobytes(&self) -> Fallible<u64> {
        self.status_kilobytes("VmRSS")
    }

    fn peak_kilobytes(&self) -> Fallible<u64> {
        self.status_kilobytes("VmHWM")
    }

    fn status_kilobytes(&self, field: &str) -> Fallible<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = status.lines().find_map(|line| line.strip_prefix(field)).ok_or("no such field")?;
        Ok(line.trim_matches([':', '\t', ' ', 'k', 'B']).parse()?)
    }

    /// Processor time since the process began.
    fn processor_time(&self) -> Fallible<Duration> {
        let schedstat = std::fs::read_to_string(format!("/proc/{}/schedstat", self.child.id()))?;
        let nanoseconds = schedstat.split(' ').next().ok_or("no schedstat")?;
        Ok(Duration::from_nanos(nanoseconds.parse()?))
    }
}

/// A list of which only the first endpoint is ever sent to.
struct EndpointList {
    length: usize,
    first: SocketAddr,
}

impl EndpointList {
    /// Writes the list in pieces, and says how many bytes it has.
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

/// An address that nothing is sent to.
fn unused_address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, (number >> 16) as u8, (number >> 8) as u8, number as u8], 9000))
}

/// The watch on the endpoint list, as discovery sees it: each write is one chunk of the response's body.
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

/// Waits for the watch that the forwarder opens; its other requests stay unanswered.
fn accept_watch(discovery: &TcpListener) -> Fallible<Arc<Watch>> {
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

    /// Sends nothing but heartbeats for this long.
    fn send_heartbeats(&self, span: Duration) -> Fallible<()> {
        let until = Instant::now() + span;
        while Instant::now() < until {
            let mut out = self;
            out.write_all(b"\n")?;
            thread::sleep(HEARTBEAT_INTERVAL.min(until.saturating_duration_since(Instant::now())));
        }
        Ok(())
    }
}

/// Reads one HTTP message, and returns its first line and its body; none at the end of the connection.
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

/// Starts an endpoint that answers every request with 200.
fn start_endpoint() -> Fallible<SocketAddr> {
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

/// The response to the health check: status line and body.
fn health(address: SocketAddr) -> Fallible<String> {
    let mut stream = TcpStream::connect(address)?;
    stream.write_all(b"GET /healthz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")?;
    read_message(&mut BufReader::new(stream)).ok_or_else(|| "no answer".into())
}

/// How one submission was answered.
struct SubmissionResult {
    status: u16,
    latency: Duration,
    /// When it was submitted, since the client began.
    submitted_at: Duration,
}

/// A client that submits a message each [`SUBMISSION_INTERVAL`] until it is stopped.
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

    fn stop(self) -> Fallible<Vec<SubmissionResult>> {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.join().map_err(|_| "the client failed".into())
    }
}

fn submit_until(forwarder: SocketAddr, stopped: &AtomicBool) -> Vec<SubmissionResult> {
    let (mut results, began) = (Vec::new(), Instant::now());
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
        results.push(SubmissionResult { status, latency: start.elapsed(), submitted_at: start - began });
        thread::sleep(SUBMISSION_INTERVAL.saturating_sub(start.elapsed()));
    }
    results
}

/// What the client saw while the list was applied.
struct SubmissionSummary {
    count: usize,
    not_accepted: usize,
    /// Sorted.
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
    /// The latency in milliseconds that this part of the submissions stays under.
    fn percentile_ms(&self, part: f64) -> f64 {
        let place = (self.latencies.len() as f64 * part) as usize;
        let latency = self.latencies.get(place).or(self.latencies.last()).copied();
        latency.unwrap_or_default().as_secs_f64() * 1e3
    }
}

/// Sends the whole list over the watch, and measures how long it takes, what it costs, and what clients notice.
fn measure_whole_list(
    forwarder: &ForwarderProcess,
    watch: &Arc<Watch>,
    list: &EndpointList,
    listen: SocketAddr,
) -> Fallible<()> {
    let client = Client::start(listen);
    let (processor_before, start) = (forwarder.processor_time()?, Instant::now());
    let bytes = send_list(watch, list)?;
    let written = start.elapsed();
    // The health check's body is a bare `ok` only once a list was applied.
    wait_until("the list is never in force", start, Duration::from_millis(5), || {
        Ok(health(listen)?.ends_with(" ok"))
    })?;
    let in_force = start.elapsed();
    let processor = forwarder.processor_time()? - processor_before;
    let submissions = SubmissionSummary::from(client.stop()?);
    println!(
        r#"{{"targets":{},"bytes":{bytes},"written_ms":{},"in_force_ms":{},"processor_ms":{},"rss_kb":{},"peak_kb":{},"hand_ins":{},"not_202":{},"p50_ms":{:.2},"p99_ms":{:.2},"worst_ms":{:.2},"worst_at_ms":{}}}"#,
        list.length,
        written.as_millis(),
        in_force.as_millis(),
        processor.as_millis(),
        forwarder.resident_kilobytes()?,
        forwarder.peak_kilobytes()?,
        submissions.count,
        submissions.not_accepted,
        submissions.percentile_ms(0.5),
        submissions.percentile_ms(0.99),
        submissions.percentile_ms(1.0),
        submissions.slowest_submitted_at.as_millis(),
    );
    Ok(())
}

/// Writes the whole list to the watch, in a thread so that it can't hang, and says how many bytes it has.
fn send_list(watch: &Arc<Watch>, list: &EndpointList) -> Fallible<u64> {
    let (result, written) = mpsc::channel();
    let watch = watch.clone();
    let list = EndpointList { ..*list };
    thread::spawn(move || {
        let mut out = &*watch;
        let bytes = list.write(&mut out);
        // The end of the line says that the list is complete.
        let ended = out.write_all(b"\n");
        let _ = result.send(bytes.and_then(|bytes| ended.map(|()| bytes)));
    });
    Ok(written.recv_timeout(STEP_TIMEOUT)??)
}

/// Measures what one change costs: changes one by one, less as long a time without any.
fn measure_changes(forwarder: &ForwarderProcess, watch: &Watch) -> Fallible<()> {
    let before = forwarder.processor_time()?;
    watch.send_heartbeats(CHANGE_INTERVAL * CHANGES as u32)?;
    let quiet = forwarder.processor_time()? - before;
    let before = forwarder.processor_time()?;
    for number in 0..CHANGES {
        watch.send_change(LIST_GENERATION + 1 + number)?;
        thread::sleep(CHANGE_INTERVAL);
    }
    let busy = forwarder.processor_time()? - before;
    let each_us = (busy.as_secs_f64() - quiet.as_secs_f64()) / CHANGES as f64 * 1e6;
    println!(
        r#"{{"changes":{CHANGES},"processor_ms":{},"quiet_ms":{},"each_us":{each_us:.1},"rss_kb":{}}}"#,
        busy.as_millis(),
        quiet.as_millis(),
        forwarder.resident_kilobytes()?
    );
    Ok(())
}

/// Measures what the forwarder costs with a change at the published rate and nothing else.
fn measure_idle(forwarder: &ForwarderProcess, watch: &Watch) -> Fallible<()> {
    let (before, start) = (forwarder.processor_time()?, Instant::now());
    for number in 0..IDLE_CHANGES {
        watch.send_change(IDLE_GENERATION + u64::from(number))?;
        watch.send_heartbeats(IDLE_CHANGE_INTERVAL)?;
    }
    let spent = forwarder.processor_time()? - before;
    println!(
        r#"{{"idle_s":{:.1},"processor_ms":{:.1},"share_of_a_core_percent":{:.3},"rss_kb":{},"peak_kb":{}}}"#,
        start.elapsed().as_secs_f64(),
        spent.as_secs_f64() * 1e3,
        spent.as_secs_f64() / start.elapsed().as_secs_f64() * 100.0,
        forwarder.resident_kilobytes()?,
        forwarder.peak_kilobytes()?
    );
    Ok(())
}
