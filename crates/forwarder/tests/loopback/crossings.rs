//! What is still owed at the instant in which something ends. Each story forces its crossing.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::mem::MaybeUninit;
use std::sync::atomic::Ordering;
use std::time::Duration;

use reeddock::{EndpointId, Idempotency};
use reeddock_forwarder::connections::Connections;
use reeddock_forwarder::events::Event;
use reeddock_forwarder::idle_permits::IdlePermits;
use reeddock_forwarder::request_sender::{run_request, EndpointRequest, RequestResult, RequestSender};
use reeddock_protocol::{AttemptResult, FinalAnswer};
use reeddock_wal::{Accepted, Record, WriteAheadLog};
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::Instant;
use tower::Service;

use crate::stand_ins::*;

/// The next end that the owner hears of.
async fn end(heard: &mut mpsc::Receiver<Event>) -> (String, AttemptResult) {
    match heard.recv().await {
        Some(Event::Ended { message, result, .. }) => (message.0.to_string(), result),
        _ => panic!("an end"),
    }
}

fn patient() -> RequestSender {
    RequestSender { connections: Connections::new(4, ms(30_000), ms(5000)) }
}

#[test]
fn the_envelope_that_is_waited_for_longest_leads_its_call() {
    story(async {
        let world = World::new(|_| Reply::Silence).await;
        let mut life = world.forwarder_knowing(list(1, true, &[])).await;
        // Effectful messages are waited for twice as long; by age this one would come last.
        for (id, class) in [("first", "note"), ("second", "note"), ("third", "order")] {
            assert_eq!(submit(&life, id, class).await, 202);
        }
        world.tell(list(2, true, &[listed("t", world.endpoint.address, 3, "Ready")]));
        let call = until("the call", || world.endpoint.got().pop()).await;
        let ids: Vec<_> = call.body.lines().filter_map(|l| l.split_once(" - ")).map(|l| l.0).collect();
        assert_eq!(ids, ["third", "first", "second"]);
        // What is left of its second as the call begins, and not the half second of the notes.
        let told: f64 = call.headers["x-budget"].parse().unwrap();
        assert!(told > 0.5 && told <= 1.0, "{told}");
        life.kill();
    });
}

#[test]
fn what_had_its_end_while_its_connection_came_up_is_not_sent_with_the_others() {
    story(async {
        let endpoint = Crowded::new();
        let (events, mut heard) = mpsc::channel(4);
        let call =
            call(endpoint.address, &[("stays", ms(20_000)), ("late", ms(100)), ("unwanted", ms(20_000))]);
        let (dispatched, mut stops) = dispatched(&call, ms(20_000));
        tokio::spawn(run_request(patient(), call, dispatched, events));
        stops.remove(2).send(()).unwrap();
        assert_eq!(end(&mut heard).await, ("unwanted".into(), AttemptResult::NotSent));
        assert_eq!(end(&mut heard).await, ("late".into(), AttemptResult::ConnectTimedOut));
        let mut stream = endpoint.open().await;
        let sent = read_message(&mut stream).await.unwrap();
        assert_eq!((sent.line.as_str(), sent.id()), ("POST /events HTTP/1.1", "stays"));
        stream.write_all(OK.as_bytes()).await.unwrap();
        assert_eq!(end(&mut heard).await, ("stays".into(), AttemptResult::Completed));
    });
}

#[test]
fn what_may_not_begin_any_more_when_its_connection_comes_up_never_ran() {
    story(async {
        let endpoint = Crowded::new();
        let (events, mut heard) = mpsc::channel(4);
        let call = call(endpoint.address, &[("a", ms(20_000)), ("b", ms(20_000))]);
        let (mut dispatched, _stops) = dispatched(&call, ms(20_000));
        // Its receipt runs out, say, long before an answer would be given up on.
        dispatched[0].begin_by = Instant::now() + ms(100);
        tokio::spawn(run_request(patient(), call, dispatched, events));
        let (id, result) = end(&mut heard).await;
        assert_eq!(
            (id.as_str(), result, result.outcome().proves_not_executed()),
            ("a", AttemptResult::ConnectTimedOut, true)
        );
        let sent = read_message(&mut endpoint.open().await).await.unwrap();
        assert_eq!(sent.id(), "b");
    });
}

#[test]
fn what_may_not_begin_any_more_does_not_go_on_a_kept_connection_either() {
    story(async {
        let endpoint = StandIn::start(|_| Reply::Say(OK.into())).await;
        let (events, mut heard) = mpsc::channel(4);
        let request_sender = patient();
        let first = call_to(&endpoint, "first");
        let (out, _stops) = dispatched(&first, ms(20_000));
        run_request(request_sender.clone(), first, out, events.clone()).await;
        assert_eq!(end(&mut heard).await, ("first".into(), AttemptResult::Completed));
        let both = call(endpoint.address, &[("late", ms(20_000)), ("in-time", ms(20_000))]);
        let (mut out, _stops) = dispatched(&both, ms(20_000));
        // Its receipt has run out, say, while the write-ahead log was written.
        out[0].begin_by = Instant::now();
        run_request(request_sender, both, out, events).await;
        let mut ends = BTreeMap::from([end(&mut heard).await, end(&mut heard).await]);
        assert!(ends.remove("late").unwrap().outcome().proves_not_executed());
        assert_eq!(ends.remove("in-time"), Some(AttemptResult::Completed));
        let sent: Vec<_> = endpoint.got().into_iter().map(|m| (m.id().to_owned(), m.connection)).collect();
        assert_eq!(sent, [("first".to_owned(), 0), ("in-time".to_owned(), 0)]);
    });
}

#[test]
fn a_target_that_leaves_or_asks_to_wait_while_a_connection_comes_up_gets_nothing_on_it() {
    story(async {
        for expected in [AttemptResult::EndpointDraining, AttemptResult::RetryAfterActive] {
            let endpoint = Crowded::new();
            let (events, mut heard) = mpsc::channel(4);
            let call = call(endpoint.address, &[("a", ms(20_000)), ("b", ms(20_000))]);
            let (dispatched, _stops) = dispatched(&call, ms(20_000));
            let request_sender = patient();
            tokio::spawn(run_request(request_sender.clone(), call, dispatched, events));
            match expected {
                AttemptResult::EndpointDraining => {
                    request_sender.connections.listed(EndpointId(1), "many", false)
                }
                _ => request_sender.connections.rest(EndpointId(1), Instant::now() + ms(20_000)),
            }
            let mut stream = endpoint.open().await;
            for id in ["a", "b"] {
                assert_eq!(end(&mut heard).await, (id.into(), expected));
            }
            assert!(expected.outcome().proves_not_executed());
            drop(request_sender);
            assert!(read_message(&mut stream).await.is_none(), "nothing but its end");
        }
    });
}

#[test]
fn a_target_that_is_active_again_is_called_again() {
    story(async {
        let world = World::new(|_| Reply::Say(OK.into())).await;
        let mut life = world.forwarder().await;
        world.tell(list(2, false, &[listed("t", world.endpoint.address, 3, "Terminating")]));
        world.tell(list(3, false, &[listed("t", world.endpoint.address, 3, "Ready")]));
        until("the watch", || (world.platform.got().len() == 1).then_some(())).await;
        assert_eq!(submit(&life, "a", "note").await, 202);
        until("the call", || world.endpoint.got().pop()).await;
        world.attempt_finished().await;
        life.kill();
    });
}

#[test]
fn two_calls_of_one_turn_do_not_travel_as_one_whose_first_half_could_go_again_while_the_other_is_out() {
    story(async {
        let mut world = World::new(|_| Reply::Close).await;
        world.copies = false;
        let silent = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let at = silent.local_addr().unwrap();
        let mut life = world.forwarder_knowing(list(1, true, &[listed("t", at, 3, "Terminating")])).await;
        // Held until the endpoint may be called: four notes fill one call, and orders are waited for longer.
        for id in ["n1", "n2", "n3", "n4"] {
            assert_eq!(submit(&life, id, "note").await, 202);
        }
        for id in ["o1", "o2"] {
            assert_eq!(submit(&life, id, "order").await, 202);
        }
        world.tell(list(2, false, &[listed("t", at, 3, "Ready")]));
        let (mut calls, mut again) = (Vec::new(), BTreeSet::new());
        while again.len() < 4 {
            let (mut stream, _) = silent.accept().await.unwrap();
            let Some(call) = read_message(&mut stream).await else { continue };
            let single_request = call.headers.get("x-call-id").cloned();
            let lines = call.body.lines().filter(|line| line.ends_with(" - 10"));
            let ids: BTreeSet<String> =
                single_request.into_iter().chain(lines.map(|l| l[..2].into())).collect();
            for (earlier, old) in &calls {
                if ids.intersection(earlier).next().is_some() {
                    let ended = SockRef::from(old).peek(&mut [MaybeUninit::uninit()]);
                    assert!(
                        !ended.is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock),
                        "{ids:?} {earlier:?}"
                    );
                    again.extend(ids.intersection(earlier).cloned());
                }
            }
            calls.push((ids, stream));
        }
        life.kill();
    });
}

#[test]
fn an_answer_in_the_instant_in_which_the_wait_ends_is_no_delivery() {
    story(async {
        let nowhere = "127.0.0.1:9".parse().unwrap();
        for result in [AttemptResult::Completed, AttemptResult::Rejected { retry_after: None }] {
            let (events, mut heard) = mpsc::channel(4);
            let call = call(nowhere, &[("late", ms(20)), ("longer", ms(20_000))]);
            let (dispatched, _stops) = dispatched(&call, ms(20_000));
            // Nothing else has a turn until the first's time is up, and then the answer is there.
            let answers_late = tower::service_fn(move |call: EndpointRequest| async move {
                while Instant::now() < call.until[0] {
                    std::hint::spin_loop();
                }
                Ok(RequestResult { results: vec![(0, result), (1, result)], wait: None, report: None })
            });
            tokio::spawn(run_request(answers_late, call, dispatched, events));
            let late = if result == AttemptResult::Completed { AttemptResult::TimedOut } else { result };
            assert_eq!(end(&mut heard).await, ("late".into(), late));
            assert_eq!(end(&mut heard).await, ("longer".into(), result));
        }
    });
}

const NO_PLACE: &str = "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";

#[test]
fn where_a_kind_has_no_room_for_connections_none_stands_idle_in_the_way_of_others() {
    story(async {
        let open = StandIn::start(|_| Reply::Say(OK.into())).await;
        let other = StandIn::start(|_| Reply::Say(OK.into())).await;
        let full = StandIn::start(|_| Reply::SayAndClose(NO_PLACE.into())).await;
        let mut request_sender = patient();
        for (endpoint, kind) in [(1, "small"), (2, "small"), (3, "large")] {
            request_sender.connections.listed(EndpointId(endpoint), kind, true);
        }
        let mut ends = async |endpoint: u32, at: &StandIn| {
            let call = EndpointRequest { endpoint: EndpointId(endpoint), ..call_to(at, "a") };
            request_sender.call(call).await.unwrap().results[0].1
        };
        for _ in 0..2 {
            assert_eq!(
                (ends(1, &open).await, ends(3, &other).await),
                (AttemptResult::Completed, AttemptResult::Completed)
            );
        }
        assert!(open.got().iter().all(|m| m.connection == 0), "kept while nothing is known");
        // Leaves as it was rejected: a connection that stands idle at another of the kind is in the way there.
        assert_eq!(ends(2, &full).await, AttemptResult::Rejected { retry_after: None });
        until("its end", || (open.closed.load(Ordering::Relaxed) == 1).then_some(())).await;
        for n in 1..3 {
            assert_eq!(ends(1, &open).await, AttemptResult::Completed);
            until("its end", || (open.closed.load(Ordering::Relaxed) == n + 1).then_some(())).await;
            assert_eq!(ends(3, &other).await, AttemptResult::Completed);
        }
        assert!(other.got().iter().all(|m| m.connection == 0), "a kind with room");
    });
}

#[test]
fn a_target_that_turns_a_kept_connection_away_says_nothing_of_room() {
    story(async {
        let leaving = StandIn::start(|_| Reply::Say(OK.into())).await;
        let open = StandIn::start(|_| Reply::Say(OK.into())).await;
        let mut request_sender = patient();
        for endpoint in [1, 2] {
            request_sender.connections.listed(EndpointId(endpoint), "small", true);
        }
        let to = |endpoint: u32, at: &StandIn| EndpointRequest {
            endpoint: EndpointId(endpoint),
            ..call_to(at, "a")
        };
        for (endpoint, at) in [(1, &leaving), (2, &open)] {
            assert_eq!(
                request_sender.call(to(endpoint, at)).await.unwrap().results[0].1,
                AttemptResult::Completed
            );
        }
        leaving.now(|_| Reply::SayAndClose(NO_PLACE.into()));
        assert_eq!(
            request_sender.call(to(1, &leaving)).await.unwrap().results[0].1,
            AttemptResult::Rejected { retry_after: None }
        );
        assert_eq!(request_sender.call(to(2, &open)).await.unwrap().results[0].1, AttemptResult::Completed);
        assert!(open.got().iter().all(|m| m.connection == 0));
    });
}

#[test]
fn a_kind_that_turned_connections_away_is_trusted_again_and_forgotten_with_its_targets() {
    let now = Instant::now();
    let mut idle_permits = IdlePermits::default();
    for (endpoint, kind) in [(1, "small"), (2, "small"), (3, "large")] {
        idle_permits.listed(EndpointId(endpoint), kind);
    }
    idle_permits.turned_away(EndpointId(9), now);
    idle_permits.turned_away(EndpointId(1), now);
    let room = |c: &IdlePermits, after| [1, 2, 3, 9].map(|t| c.has_room(EndpointId(t), now + ms(after)));
    assert_eq!(room(&idle_permits, 29_000), [false, false, true, true]);
    assert_eq!(room(&idle_permits, 30_000), [true; 4]);
    idle_permits.forget(EndpointId(1));
    assert_eq!(room(&idle_permits, 0), [true, false, true, true], "another of the kind is still listed");
    idle_permits.forget(EndpointId(2));
    idle_permits.listed(EndpointId(2), "small");
    assert_eq!(room(&idle_permits, 0), [true; 4], "nothing is kept of a kind that nothing is listed for");
}

#[test]
fn a_notice_that_cannot_be_read_takes_none_of_the_others_along() {
    story(async {
        let world = World::new(|_| Reply::Silence).await;
        world.platform.now(|m| match m.body.contains("\"bad\"") {
            true => Reply::Say("HTTP/1.1 400 Bad Request\r\ncontent-length: 0\r\n\r\n".into()),
            false => as_platform(m),
        });
        // Six ends are owed and none has been told: they go in one message, at the start.
        let mut ledger = WriteAheadLog::open(&world.folder, 3_000_000, Default::default()).unwrap();
        let ids = ["a", "b", "bad", "c", "d", "e"];
        let ended = ids.map(|id| Record::Finished { id: id.into(), notice: Some(FinalAnswer::Failed) });
        ledger.append(&ended, ms(0)).unwrap();
        drop(ledger);
        let mut life = world.forwarder().await;
        world.attempt_finished().await;
        let told = world.platform.got().into_iter().filter(|m| m.line.contains("finals"));
        let read: String = told.filter(|m| !m.body.contains("\"bad\"")).map(|m| m.body).collect();
        for id in ids.into_iter().filter(|id| *id != "bad") {
            assert!(read.contains(&format!(r#"{{"id":"{id}","status":"undeliverable"}}"#)), "{id} in {read}");
        }
        life.kill();
    });
}

/// All that still comes on a connection; an error where it is reset.
async fn rest_of(stream: &mut TcpStream) -> std::io::Result<String> {
    let mut rest = String::new();
    stream.read_to_string(&mut rest).await.map(|_| rest)
}

#[test]
fn an_answer_is_not_reset_by_what_its_client_still_sends() {
    story(async {
        let world = World::new(|_| Reply::Say(OK.into())).await;
        let mut life = world.forwarder().await;
        let mut stream = TcpStream::connect(life.address).await.unwrap();
        // Refused by its head, while far more of its body comes than the system holds for either side.
        let request = message("a", "note", 5.0, &"x".repeat(2_000_000));
        stream.write_all(request.as_bytes()).await.expect("all of it is taken");
        let answer = rest_of(&mut stream).await.expect("an end, not a reset");
        assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
        life.kill();
    });
}

#[test]
fn what_is_written_between_the_shutdown_and_the_close_is_not_taken_on() {
    story(async {
        let mut world = World::new(|_| Reply::Say(OK.into())).await;
        world.accept_grace = ms(10_000);
        let mut life = world.forwarder().await;
        life.stop.take();
        let mut stream = TcpStream::connect(life.address).await.unwrap();
        let mut answer = String::new();
        while !answer.contains("connection: close") {
            // Until the stop has been heard, answers don't ask to go.
            stream = TcpStream::connect(life.address).await.unwrap();
            stream.write_all(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n").await.unwrap();
            let message = read_message(&mut stream).await.unwrap();
            answer = format!("connection: {}", message.headers.get("connection").map_or("", String::as_str));
        }
        // Its end has come, and the connection is not closed yet.
        assert_eq!(stream.read(&mut [0; 1]).await.unwrap(), 0);
        let late = message("late", "note", 5.0, "x");
        // A reset by the first half would refuse the second.
        for half in [&late[..20], &late[20..]] {
            stream.write_all(half.as_bytes()).await.expect("read and thrown away");
        }
        assert_eq!(rest_of(&mut stream).await.expect("no reset"), "");
        assert_eq!(submit(&life, "good", "note").await, 202);
        until("the good one", || world.endpoint.got().pop()).await;
        world.attempt_finished().await;
        assert!(world.endpoint.got().iter().all(|m| m.id() == "good"));
        life.kill();
    });
}

#[test]
fn who_waits_before_the_door_as_it_closes_is_answered() {
    story(async {
        let mut world = World::new(|_| Reply::Say(OK.into())).await;
        world.resources.descriptors = 40;
        world.accept_grace = ms(0);
        let mut life = world.forwarder().await;
        // Every place is taken by a request that lacks the end of its body.
        let cut = message("cut", "note", 5.0, "xx").replace("\r\n\r\nxx", "\r\n\r\nx");
        let mut taken = Vec::new();
        for _ in 0..4 {
            let mut stream = TcpStream::connect(life.address).await.unwrap();
            stream.write_all(cut.as_bytes()).await.unwrap();
            taken.push(stream);
        }
        let mut waiting = TcpStream::connect(life.address).await.unwrap();
        waiting.write_all(message("a", "note", 5.0, "x").as_bytes()).await.unwrap();
        life.stop.take();
        let answer = read_message(&mut waiting).await.expect("a whole answer");
        assert_eq!(status(&answer), 202);
        until("its delivery before the end", || world.endpoint.got().pop()).await;
        until("the end", || life.thread.as_ref().is_some_and(|t| t.is_finished()).then_some(())).await;
        world.attempt_finished().await;
    });
}

#[test]
fn a_second_configuration_on_the_same_folder_keeps_by_its_own_terms_what_the_first_took_on() {
    story(async {
        let mut world = World::new(|_| Reply::Silence).await;
        let mut life = world.forwarder().await;
        // Out at the kill, under terms by which it may run again.
        assert_eq!(submit(&life, "out", "note").await, 202);
        until("its call", || world.endpoint.got().pop()).await;
        life.kill();
        let before = world.endpoint.got().len();
        let mut life = world.forwarder_knowing(list(1, true, &[])).await;
        for (id, class) in [("untried", "note"), ("strange", "order")] {
            assert_eq!(submit(&life, id, class).await, 202);
        }
        life.kill();
        world.classes = vec![("mark", Idempotency::Idempotent), ("note", Idempotency::NonIdempotent)];
        world.endpoint.now(|_| Reply::Say(OK.into()));
        let mut life = world.forwarder().await;
        world.attempt_finished().await;
        // Its class is non-idempotent now, and may have had its effect; the other's is not known any more.
        for id in ["out", "strange"] {
            assert!(
                world.notices().contains(&format!(r#"{{"id":"{id}","status":"undeliverable"}}"#)),
                "{id}"
            );
        }
        let got: Vec<String> = world.endpoint.got()[before..].iter().map(|m| m.id().to_owned()).collect();
        assert_eq!(got, ["untried"]);
        life.kill();
    });
}

#[test]
fn a_request_that_had_begun_on_a_kept_connection_as_the_door_closed_is_answered() {
    story(async {
        let mut world = World::new(|_| Reply::Say(OK.into())).await;
        world.accept_grace = ms(0);
        let mut life = world.forwarder().await;
        let mut kept = TcpStream::connect(life.address).await.unwrap();
        kept.write_all(message("a", "note", 15.0, "x").as_bytes()).await.unwrap();
        assert_eq!(status(&read_message(&mut kept).await.unwrap()), 202);
        let last = message("last", "note", 15.0, "x");
        kept.write_all(&last.as_bytes()[..40]).await.unwrap();
        // Answered after those bytes were there; and idle, so that its end says that the door has closed.
        let mut idle = TcpStream::connect(life.address).await.unwrap();
        idle.write_all(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n").await.unwrap();
        assert_eq!(status(&read_message(&mut idle).await.unwrap()), 200);
        life.stop.take();
        assert_eq!(rest_of(&mut idle).await.unwrap(), "");
        kept.write_all(&last.as_bytes()[40..]).await.unwrap();
        assert_eq!(status(&read_message(&mut kept).await.expect("a whole answer")), 202);
        until("both", || (world.endpoint.got().len() == 2).then_some(())).await;
        until("the end", || life.thread.as_ref().is_some_and(|t| t.is_finished()).then_some(())).await;
        world.attempt_finished().await;
    });
}

#[test]
fn the_answer_of_a_connection_that_is_spared_for_another_arrives_whole() {
    story(async {
        let mut world = World::new(|_| Reply::Say(OK.into())).await;
        world.resources.descriptors = 96;
        let mut life = world.forwarder().await;
        let mut spared = TcpStream::connect(life.address).await.unwrap();
        spared.write_all(message("a", "note", 15.0, "x").as_bytes()).await.unwrap();
        until("its delivery", || world.endpoint.got().pop()).await;
        // All other places are taken by requests that lack the end of their bodies; one more takes its place.
        let cut = message("cut", "note", 5.0, "xx").replace("\r\n\r\nxx", "\r\n\r\nx");
        let mut others = Vec::new();
        for _ in 0..30 {
            let mut stream = TcpStream::connect(life.address).await.unwrap();
            stream.write_all(cut.as_bytes()).await.unwrap();
            others.push(stream);
        }
        assert_eq!(status(&read_message(&mut spared).await.expect("its answer")), 202);
        assert_eq!(rest_of(&mut spared).await.expect("an end, not a reset"), "");
        for half in ["POST /api HTTP/1.1\r\n", "X-Call-Id: late\r\n"] {
            spared.write_all(half.as_bytes()).await.expect("read and thrown away");
        }
        assert_eq!(world.endpoint.got().len(), 1);
        life.kill();
    });
}

#[test]
fn a_restart_under_a_stale_list_ends_the_untried_the_tried_and_the_unsure_of_each_effect() {
    story(async {
        let world = World::new(|m| {
            let ids = m.body.lines().filter_map(|line| line.strip_suffix(" - 1"));
            let body: String = ids.map(|id| format!("{id} accepted\r\n")).collect();
            Reply::Say(format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len()))
        })
        .await;
        let gone = TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
        let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
        let at = |span: Duration| span.as_micros() as u64;
        let mut records = Vec::new();
        for class in ["note", "order", "mark"] {
            for past in ["untried", "tried", "unsure"] {
                let id = format!("{class}-{past}");
                records.push(Record::Accepted(Accepted {
                    id: id.clone(),
                    class: class.into(),
                    tenant: None,
                    key: None,
                    destination: 3,
                    deadline: at(unix + ms(15_000)),
                    body: "x".into(),
                    idempotency_key: None,
                }));
                if past != "untried" {
                    let begun = at(unix - ms(500));
                    records.push(Record::AttemptStarted {
                        id: id.clone(),
                        no: 0,
                        endpoint: "t".into(),
                        at: begun,
                    });
                }
                if past == "tried" {
                    records.push(Record::AttemptFinished { id, no: 0, proves_not_executed: true });
                }
            }
        }
        let mut ledger = WriteAheadLog::open(&world.folder, 3_000_000, Default::default()).unwrap();
        ledger.append(&records, ms(0)).unwrap();
        drop(ledger);
        // The list that it starts with has the endpoint where nobody is any more.
        let mut life = world.forwarder_knowing(list(1, true, &[listed("t", gone, 3, "Ready")])).await;
        world.tell(list(2, false, &[listed("t", world.endpoint.address, 3, "Ready")]));
        world.attempt_finished().await;
        let calls: Vec<String> = world.endpoint.got().iter().map(|m| m.id().to_owned() + &m.body).collect();
        for record in &records {
            let Record::Accepted(Accepted { id, .. }) = record else { continue };
            let sent = calls.iter().any(|call| call.contains(id.as_str()));
            assert_eq!(sent, id != "order-unsure", "{id}");
            assert_eq!(world.notices().contains(id.as_str()), id == "order-unsure", "{id}");
        }
        life.kill();
    });
}
