//! The watch on the list, on sockets, with shorter periods than in use.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use reeddock_forwarder::discovery::follow;
use reeddock_forwarder::events::Event;
use reeddock_forwarder::watch_schedule::{Periods, WatchSchedule};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, Instant};

use crate::stand_ins::{list, ms, read_message, story};

const HEAD: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
const BETWEEN_LINES: Duration = ms(50);
/// The generation of the change that the first watch misses.
const MISSED: u64 = 2;

/// Two fifths of those in use, with an empty line sooner.
const fn shorter() -> Periods {
    Periods {
        told_after: ms(2400),
        told_after_move: ms(1600),
        answer: ms(400),
        connect: ms(400),
        silent_after: ms(1200),
        spread: ms(400),
        quick: ms(40),
    }
}

/// What discovery does with one call for the watch.
#[derive(Clone, Copy, Debug)]
enum Behaviour {
    /// Opens the watch, sends empty lines for this time, and then nothing more.
    FallsSilentAfter(Duration),
    /// The same, but closes it.
    ClosesAfter(Duration),
    Refuses,
    RefusesForLong,
    Closes,
    DoesNotAnswer,
    /// Opens the watch, and sends no line.
    SendsHeadOnly,
    /// Tells the change, its head coming after this time.
    TellsAfter(Duration),
}

/// Discovery, which treats each call by its place in a script, and all after these as the last.
struct Discovery {
    address: SocketAddr,
    /// When the last line of a watch was sent, or when a watch was closed, or when this discovery came to answer.
    true_until: Arc<Mutex<Option<Instant>>>,
    calls: Arc<Mutex<Vec<Instant>>>,
    script: watch::Sender<Vec<Behaviour>>,
}

impl Discovery {
    async fn start(script: &[Behaviour]) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let discovery = Discovery {
            address: listener.local_addr().unwrap(),
            true_until: Arc::default(),
            calls: Arc::default(),
            script: watch::Sender::new(script.to_vec()),
        };
        let (true_until, calls) = (discovery.true_until.clone(), discovery.calls.clone());
        let script = discovery.script.subscribe();
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                let place = calls.lock().unwrap().len();
                calls.lock().unwrap().push(Instant::now());
                let behaviour = {
                    let script = script.borrow();
                    script[place.min(script.len() - 1)]
                };
                tokio::spawn(converse(stream, behaviour, true_until.clone()));
            }
        });
        discovery
    }

    fn true_until(&self) -> Instant {
        self.true_until.lock().unwrap().expect("a watch that was lost")
    }

    fn calls(&self) -> usize {
        self.calls.lock().unwrap().len()
    }
}

async fn converse(mut stream: TcpStream, behaviour: Behaviour, true_until: Arc<Mutex<Option<Instant>>>) {
    if read_message(&mut stream).await.is_none() {
        return;
    }
    let refusal = |wait: &str| format!("HTTP/1.1 503 Busy\r\n{wait}content-length: 0\r\n\r\n");
    let said = match behaviour {
        Behaviour::Refuses => refusal(""),
        Behaviour::RefusesForLong => refusal("retry-after: 40\r\n"),
        Behaviour::Closes => return,
        Behaviour::DoesNotAnswer => String::new(),
        Behaviour::SendsHeadOnly => HEAD.into(),
        Behaviour::TellsAfter(wait) => {
            sleep(wait).await;
            let line = list(MISSED, true, &[]) + "\n";
            format!("{HEAD}{:x}\r\n{line}\r\n", line.len())
        }
        Behaviour::FallsSilentAfter(stands) | Behaviour::ClosesAfter(stands) => {
            let _ = stream.write_all(HEAD.as_bytes()).await;
            let start = Instant::now();
            while start.elapsed() < stands {
                *true_until.lock().unwrap() = Some(Instant::now());
                let _ = stream.write_all(b"1\r\n\n\r\n").await;
                sleep(BETWEEN_LINES).await;
            }
            if matches!(behaviour, Behaviour::ClosesAfter(_)) {
                *true_until.lock().unwrap() = Some(Instant::now());
                return;
            }
            String::new()
        }
    };
    let _ = stream.write_all(said.as_bytes()).await;
    // Until the other side closes it.
    while stream.read_u8().await.is_ok() {}
}

/// Follows the list of this discovery; comes when a part of the list does.
async fn until_told(discovery: &Discovery, seed: u64) {
    let (owner, mut queue) = mpsc::channel(16);
    let at = watch::Sender::new(discovery.address);
    let schedule = WatchSchedule::new(shorter(), seed);
    let following = tokio::spawn(follow(at.subscribe(), 1, schedule, owner));
    while matches!(queue.recv().await.expect("the watch goes on"), Event::ListFailed) {}
    following.abort();
}

/// Plays each of these scripts with several phases, all at once.
async fn tells_in_time(scripts: &[&[Behaviour]]) {
    let plays = scripts.iter().flat_map(|script| (0..6).map(move |seed| (*script, seed)));
    let plays = plays.map(|(script, seed)| async move {
        let discovery = Discovery::start(script).await;
        until_told(&discovery, seed).await;
        let late = discovery.true_until().elapsed();
        assert!(late <= shorter().told_after, "{script:?}, seed {seed}: told after {late:?}");
        assert!(
            discovery.calls() <= script.len() + 1,
            "{script:?}, seed {seed}: {} calls",
            discovery.calls()
        );
    });
    futures_util::future::join_all(plays).await;
}

const FIRST_ANSWERED_CALL: Behaviour = Behaviour::TellsAfter(ms(200));
const SILENT: Behaviour = Behaviour::FallsSilentAfter(ms(300));

#[test]
fn a_silent_watch_whose_next_call_is_refused_or_not_answered_tells_in_time() {
    story(tells_in_time(&[
        &[SILENT, FIRST_ANSWERED_CALL],
        &[SILENT, Behaviour::Refuses, FIRST_ANSWERED_CALL],
        &[SILENT, Behaviour::RefusesForLong, FIRST_ANSWERED_CALL],
        &[SILENT, Behaviour::DoesNotAnswer, FIRST_ANSWERED_CALL],
        &[SILENT, Behaviour::Closes, FIRST_ANSWERED_CALL],
        &[SILENT, Behaviour::Closes, Behaviour::Closes, FIRST_ANSWERED_CALL],
    ]));
}

#[test]
fn a_watch_that_breaks_and_whose_next_calls_fail_tells_in_time() {
    const BREAKS: Behaviour = Behaviour::ClosesAfter(ms(300));
    story(tells_in_time(&[
        &[BREAKS, FIRST_ANSWERED_CALL],
        &[BREAKS, Behaviour::Refuses, FIRST_ANSWERED_CALL],
        &[BREAKS, Behaviour::RefusesForLong, FIRST_ANSWERED_CALL],
        &[BREAKS, Behaviour::DoesNotAnswer, FIRST_ANSWERED_CALL],
        &[BREAKS, Behaviour::SendsHeadOnly, FIRST_ANSWERED_CALL],
        &[BREAKS, Behaviour::Closes, Behaviour::Closes, FIRST_ANSWERED_CALL],
    ]));
}

#[test]
fn discovery_that_answers_again_after_a_while_tells_in_time() {
    let failures =
        [Behaviour::Refuses, Behaviour::RefusesForLong, Behaviour::DoesNotAnswer, Behaviour::Closes];
    let plays = failures.into_iter().flat_map(|failure| (0..6).map(move |seed| (failure, seed)));
    let plays = plays.map(|(failure, seed)| async move {
        let discovery = Discovery::start(&[failure]).await;
        let comes_back = async {
            // Any moment in the forwarder's period.
            sleep(ms(1500 + 331 * seed)).await;
            discovery.script.send_replace(vec![FIRST_ANSWERED_CALL]);
            Instant::now()
        };
        let ((), back) = tokio::join!(until_told(&discovery, seed), comes_back);
        let late = back.elapsed();
        assert!(late <= shorter().told_after, "{failure:?}, seed {seed}: told after {late:?}");
    });
    story(async {
        futures_util::future::join_all(plays).await;
    });
}
