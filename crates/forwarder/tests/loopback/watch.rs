//! The watch on the endpoint list, on loopback sockets with shorter timings than the defaults.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures_util::future::join_all;
use reeddock_forwarder::discovery::watch_endpoint_list;
use reeddock_forwarder::events::Event;
use reeddock_forwarder::watch_schedule::{WatchSchedule, WatchTimings};
use reeddock_protocol::ListLimits;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, Instant};

use crate::support::{chunk, endpoint_list, ms, read_message, run_test, CHUNKED_RESPONSE_HEAD};

const EMPTY_LINE_INTERVAL: Duration = ms(50);
/// The generation of the change that the first watch does not receive.
const MISSED_GENERATION: u64 = 2;
/// The number of seeds with which each script runs. The seed selects the point in the request
/// interval at which the forwarder sends its requests.
const SEED_COUNT: u64 = 6;

/// Returns timings that are shorter than the defaults, so that the tests take less time.
const fn short_timings() -> WatchTimings {
    WatchTimings {
        max_staleness: ms(2400),
        max_staleness_after_move: ms(1600),
        max_response_time: ms(400),
        min_response_timeout: ms(400),
        connect_timeout: ms(400),
        idle_timeout: ms(1200),
        idle_retry_spread: ms(400),
        quick_retry_delay: ms(40),
    }
}

/// How discovery handles one request for the watch.
#[derive(Clone, Copy, Debug)]
enum Behaviour {
    /// Opens the watch, sends empty lines for this time, and then sends nothing more.
    StopsSendingAfter(Duration),
    /// Opens the watch, sends empty lines for this time, and then closes the connection.
    ClosesAfter(Duration),
    Refuses,
    /// Refuses the request with a `Retry-After` of 40 s.
    RefusesWithRetryAfter,
    Closes,
    DoesNotRespond,
    /// Opens the watch and sends no line.
    SendsHeadOnly,
    /// Waits for this time, then sends the response head and the change.
    SendsChangeAfter(Duration),
}

/// The time when the list was last known to be up to date: when the last line was sent, a watch was closed or
/// discovery began to respond.
#[derive(Clone, Default)]
struct UpToDateUntil(Arc<Mutex<Option<Instant>>>);

impl UpToDateUntil {
    fn set_now(&self) {
        *self.0.lock().unwrap() = Some(Instant::now());
    }

    fn elapsed(&self) -> Duration {
        self.0.lock().unwrap().expect("expected a recorded time at which the list was up to date").elapsed()
    }
}

/// A discovery service that handles each request by its position in a script. Later requests repeat the last
/// behaviour.
struct ScriptedDiscovery {
    address: SocketAddr,
    up_to_date_until: UpToDateUntil,
    requests: Arc<AtomicUsize>,
    script: watch::Sender<Vec<Behaviour>>,
}

impl ScriptedDiscovery {
    async fn start(script: &[Behaviour]) -> ScriptedDiscovery {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let discovery = ScriptedDiscovery {
            address: listener.local_addr().unwrap(),
            up_to_date_until: UpToDateUntil::default(),
            requests: Arc::default(),
            script: watch::Sender::new(script.to_vec()),
        };
        let (up_to_date_until, requests) = (discovery.up_to_date_until.clone(), discovery.requests.clone());
        let script = discovery.script.subscribe();
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                let number = requests.fetch_add(1, Ordering::Relaxed);
                let behaviour = {
                    let script = script.borrow();
                    script[number.min(script.len() - 1)]
                };
                tokio::spawn(serve_watch(stream, behaviour, up_to_date_until.clone()));
            }
        });
        discovery
    }

    fn requests(&self) -> usize {
        self.requests.load(Ordering::Relaxed)
    }
}

async fn serve_watch(mut stream: TcpStream, behaviour: Behaviour, up_to_date_until: UpToDateUntil) {
    if read_message(&mut stream).await.is_none() {
        return;
    }
    let refusal = |header: &str| format!("HTTP/1.1 503 Busy\r\n{header}content-length: 0\r\n\r\n");
    let response = match behaviour {
        Behaviour::Refuses => refusal(""),
        Behaviour::RefusesWithRetryAfter => refusal("retry-after: 40\r\n"),
        Behaviour::Closes => return,
        Behaviour::DoesNotRespond => String::new(),
        Behaviour::SendsHeadOnly => CHUNKED_RESPONSE_HEAD.into(),
        Behaviour::SendsChangeAfter(wait) => {
            sleep(wait).await;
            let line = endpoint_list(MISSED_GENERATION, true, &[]) + "\n";
            format!("{CHUNKED_RESPONSE_HEAD}{}", chunk(&line))
        }
        Behaviour::StopsSendingAfter(span) => {
            send_empty_lines(&mut stream, span, &up_to_date_until).await;
            String::new()
        }
        Behaviour::ClosesAfter(span) => {
            send_empty_lines(&mut stream, span, &up_to_date_until).await;
            return up_to_date_until.set_now();
        }
    };
    let _ = stream.write_all(response.as_bytes()).await;
    // Waits until the other side closes the connection.
    while stream.read_u8().await.is_ok() {}
}

/// Opens the watch and sends empty lines for this time.
async fn send_empty_lines(stream: &mut TcpStream, span: Duration, up_to_date_until: &UpToDateUntil) {
    let _ = stream.write_all(CHUNKED_RESPONSE_HEAD.as_bytes()).await;
    let start = Instant::now();
    while start.elapsed() < span {
        up_to_date_until.set_now();
        let _ = stream.write_all(chunk("\n").as_bytes()).await;
        sleep(EMPTY_LINE_INTERVAL).await;
    }
}

/// Watches the list of this discovery service until a part of the list is received.
async fn wait_until_received(discovery: &ScriptedDiscovery, seed: u64) {
    let (sender, mut events) = mpsc::channel(16);
    let address = watch::Sender::new(discovery.address);
    let schedule = WatchSchedule::new(short_timings(), seed);
    let watching =
        tokio::spawn(watch_endpoint_list(address.subscribe(), 1, schedule, ListLimits::default(), sender));
    while matches!(events.recv().await.expect("expected the watch to continue"), Event::WatchLost) {}
    watching.abort();
}

/// Runs each script concurrently with several seeds. Checks that the change is received in time and without
/// unnecessary requests.
async fn check_change_is_received_in_time(scripts: &[&[Behaviour]]) {
    let runs = scripts.iter().flat_map(|script| (0..SEED_COUNT).map(move |seed| (*script, seed)));
    let runs = runs.map(|(script, seed)| async move {
        let discovery = ScriptedDiscovery::start(script).await;
        wait_until_received(&discovery, seed).await;
        let late = discovery.up_to_date_until.elapsed();
        assert!(late <= short_timings().max_staleness, "{script:?}, seed {seed}: received after {late:?}");
        assert!(
            discovery.requests() <= script.len() + 1,
            "{script:?}, seed {seed}: expected at most one request more than the script has, found {}",
            discovery.requests()
        );
    });
    join_all(runs).await;
}

const SENDS_CHANGE: Behaviour = Behaviour::SendsChangeAfter(ms(200));

#[test]
fn change_is_received_in_time_after_an_inactive_watch_and_failed_requests() {
    const INACTIVE: Behaviour = Behaviour::StopsSendingAfter(ms(300));
    run_test(check_change_is_received_in_time(&[
        &[INACTIVE, SENDS_CHANGE],
        &[INACTIVE, Behaviour::Refuses, SENDS_CHANGE],
        &[INACTIVE, Behaviour::RefusesWithRetryAfter, SENDS_CHANGE],
        &[INACTIVE, Behaviour::DoesNotRespond, SENDS_CHANGE],
        &[INACTIVE, Behaviour::Closes, SENDS_CHANGE],
        &[INACTIVE, Behaviour::Closes, Behaviour::Closes, SENDS_CHANGE],
    ]));
}

#[test]
fn change_is_received_in_time_after_a_closed_watch_and_failed_requests() {
    const CLOSES: Behaviour = Behaviour::ClosesAfter(ms(300));
    run_test(check_change_is_received_in_time(&[
        &[CLOSES, SENDS_CHANGE],
        &[CLOSES, Behaviour::Refuses, SENDS_CHANGE],
        &[CLOSES, Behaviour::RefusesWithRetryAfter, SENDS_CHANGE],
        &[CLOSES, Behaviour::DoesNotRespond, SENDS_CHANGE],
        &[CLOSES, Behaviour::SendsHeadOnly, SENDS_CHANGE],
        &[CLOSES, Behaviour::Closes, Behaviour::Closes, SENDS_CHANGE],
    ]));
}

#[test]
fn change_is_received_in_time_after_discovery_recovers() {
    let failures =
        [Behaviour::Refuses, Behaviour::RefusesWithRetryAfter, Behaviour::DoesNotRespond, Behaviour::Closes];
    let runs = failures.into_iter().flat_map(|failure| (0..SEED_COUNT).map(move |seed| (failure, seed)));
    let runs = runs.map(|(failure, seed)| async move {
        let discovery = ScriptedDiscovery::start(&[failure]).await;
        let recovers = async {
            // Each seed has another time between the start of the forwarder and the recovery of discovery.
            sleep(ms(1500 + 331 * seed)).await;
            discovery.script.send_replace(vec![SENDS_CHANGE]);
            Instant::now()
        };
        let ((), recovered) = tokio::join!(wait_until_received(&discovery, seed), recovers);
        let late = recovered.elapsed();
        assert!(late <= short_timings().max_staleness, "{failure:?}, seed {seed}: received after {late:?}");
    });
    run_test(async {
        join_all(runs).await;
    });
}
