//! Stories of one forwarder, against stand-ins for endpoints, the platform and clients.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;
use std::time::Instant;

use reeddock::{EndpointId, LoadReport};
use reeddock_forwarder::connections::Connections;
use reeddock_forwarder::events::Event;
use reeddock_forwarder::request_sender::{run_request, RequestSender};
use reeddock_protocol::AttemptResult;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};
use tower::Service;

use crate::stand_ins::*;

#[test]
fn what_is_taken_on_is_delivered_once_and_needs_no_notice() {
    story(async {
        let world = World::new(|_| Reply::Say(OK.into())).await;
        let mut life = world.forwarder().await;
        assert_eq!(submit(&life, "a1", "order").await, 202);
        let call = until("the call", || world.endpoint.got().pop()).await;
        assert_eq!((call.line.as_str(), call.id()), ("POST /events HTTP/1.1", "a1"));
        assert_eq!(call.body, "body of it");
        assert!(call.headers["x-budget"].parse::<f64>().unwrap() > 0.0);
        world.attempt_finished().await;
        assert_eq!(submit(&life, "a2", "order").await, 202);
        until("the second call", || (world.endpoint.got().len() == 2).then_some(())).await;
        let connections: Vec<_> = world.endpoint.got().iter().map(|m| m.connection).collect();
        assert_eq!(connections, [0, 0], "the second finds the connection of the first");
        world.attempt_finished().await;
        life.kill();
        let mut life = world.forwarder().await;
        assert_eq!(submit(&life, "a3", "order").await, 202);
        until("the third call", || (world.endpoint.got().len() == 3).then_some(())).await;
        assert_eq!(world.notices(), "");
        life.kill();
    });
}

#[test]
fn bad_requests_are_answered_plainly_and_leave_nothing_behind() {
    story(async {
        let world = World::new(|_| Reply::Say(OK.into())).await;
        let mut life = world.forwarder().await;
        let good = message("x", "note", 5.0, "");
        for (request, expected) in [
            (good.replace("X-Call-Id: x", "X-Other: x"), 400),
            (good.replace("X-Call-Id: x", "X-Call-Id: two words"), 400),
            (good.replace("X-Call-Id: x", "X-Call-Id: x\r\nIdempotency-Key: two words"), 400),
            (good.replace("X-Budget: 5", "X-Budget: soon"), 400),
            (good.replace("X-Budget: 5", "X-Budget: -5"), 400),
            (good.replace("X-Budget: 5", "X-Budget: inf"), 400),
            (good.replace("dest=3", "dest=three"), 400),
            (good.replace("X-Route-To: dest=3\r\n", ""), 400),
            (good.replace("Content-Length: 0", "Content-Length: 65537"), 413),
            (good.replace("POST /api", "POST /apis"), 404),
            (good.replace("X-Call-Class: note", "X-Call-Class: unheard"), 422),
            (good.replace("X-Budget: 5", "X-Budget: 1e300"), 202),
            ("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n".into(), 200),
        ] {
            assert_eq!(status(&ask(life.address, request.clone()).await), expected, "{request}");
        }
        until("the good one", || world.endpoint.got().pop()).await;
        assert_eq!(world.endpoint.got().len(), 1);
        life.kill();
    });
}

#[test]
fn a_client_that_goes_before_its_answer_leaves_nothing_behind() {
    story(async {
        let mut world = World::new(|_| Reply::Say(OK.into())).await;
        world.tick = ms(1500);
        let mut life = world.forwarder().await;
        // Answered on the tick, so that what comes next has to wait for another.
        assert_eq!(submit(&life, "first", "order").await, 202);
        let mut stream = TcpStream::connect(life.address).await.unwrap();
        stream.write_all(message("goes", "order", 9.0, "").as_bytes()).await.unwrap();
        sleep(ms(50)).await;
        drop(stream);
        assert_eq!(submit(&life, "stays", "order").await, 202);
        let got = |id: &str| world.endpoint.got().iter().any(|m| m.id() == id).then_some(());
        until("the one that stays", || got("stays")).await;
        life.kill();
        let mut life = world.forwarder().await;
        assert_eq!(submit(&life, "after", "order").await, 202);
        until("what came after", || got("after")).await;
        life.kill();
        let seen = |m: &Message| m.id() == "goes" || m.body.contains("goes");
        assert!(!world.endpoint.got().iter().any(seen));
    });
}

#[test]
fn the_largest_bodies_go_each_in_a_call_of_its_own() {
    story(async {
        let world = World::new(|_| Reply::Say(OK.into())).await;
        let mut life = world.forwarder_knowing(list(1, true, &[])).await;
        let body = "x".repeat(64 * 1024);
        for id in ["a", "b"] {
            assert_eq!(status(&ask(life.address, message(id, "note", 9.0, &body)).await), 202);
        }
        world.tell(list(2, true, &[listed("t", world.endpoint.address, 3, "Ready")]));
        until("both", || (world.endpoint.got().len() == 2).then_some(())).await;
        assert!(world.endpoint.got().iter().all(|m| m.line.starts_with("POST /events ") && m.body == body));
        life.kill();
    });
}

#[test]
fn watch_and_notices_move_to_another_address_and_nothing_untold_is_lost() {
    story(async {
        let world = World::new(|_| Reply::Close).await;
        let before = listed("t", world.endpoint.address, 3, "Ready");
        // The old one takes no notice any more, and says nothing on the watch.
        world.platform.now(|m| if m.line.contains("finals") { Reply::Silence } else { Reply::Stream });
        let mut life = world.forwarder_knowing(list(5, true, &[before])).await;
        assert_eq!(submit(&life, "a", "order").await, 202);
        until("a notice", || world.notices().contains("\"a\"").then_some(())).await;
        let new = StandIn::start(as_platform).await;
        world.moves.send_replace(new.address);
        let watch = |m: &Message| m.line.contains("index=5");
        until("a watch that knows the list", || new.got().iter().any(watch).then_some(())).await;
        until("the notice", || World::notices_at(&new).contains("\"a\"").then_some(())).await;
        let good = StandIn::start(|_| Reply::Say(OK.into())).await;
        new.lines.lock().unwrap().push(list(6, false, &[listed("t", good.address, 3, "Ready")]));
        assert_eq!(submit(&life, "b", "note").await, 202);
        until("a call to the new target", || good.got().pop()).await;
        world.attempt_finished().await;
        life.kill();
    });
}

#[test]
fn silent_clients_are_closed_in_time_and_crowd_nobody_out() {
    story(async {
        let mut world = World::new(|_| Reply::Say(OK.into())).await;
        world.resources.descriptors = 64;
        let mut life = world.forwarder().await;
        let mut stayed = Vec::new();
        for n in 0..40 {
            // Some ask once and stay, others say nothing or begin and stop.
            let mut stream = TcpStream::connect(life.address).await.unwrap();
            let said = match n % 4 {
                0 => message(&format!("e{n}"), "note", 9.0, ""),
                1 => "POST /api HTTP/1.1\r\nX-Ca".into(),
                2 => message("half", "note", 9.0, "all of it").replace("all of it", "al"),
                _ => String::new(),
            };
            stream.write_all(said.as_bytes()).await.unwrap();
            if n % 4 == 0 {
                assert_eq!(status(&read_message(&mut stream).await.unwrap()), 202, "{n}");
            }
            stayed.push((Instant::now(), stream));
            sleep(ms(30)).await;
        }
        for (since, mut stream) in stayed {
            let mut rest = Vec::new();
            let _ = timeout(ms(5000), stream.read_to_end(&mut rest)).await.expect("closed");
            assert!(since.elapsed() < ms(4500), "{:?}", since.elapsed());
        }
        life.kill();
    });
}

#[test]
fn with_many_clients_connected_each_is_let_go_once_it_is_answered() {
    story(async {
        let mut world = World::new(|_| Reply::Say(OK.into())).await;
        world.resources.descriptors = 112;
        let mut life = world.forwarder().await;
        let mut stayed = Vec::new();
        for n in 0..20 {
            let mut stream = TcpStream::connect(life.address).await.unwrap();
            stream.write_all(message(&format!("e{n}"), "note", 9.0, "").as_bytes()).await.unwrap();
            let answer = read_message(&mut stream).await.unwrap();
            assert_eq!(status(&answer), 202);
            stayed.push((answer.headers.contains_key("connection"), stream));
        }
        assert_eq!(stayed.iter().filter(|s| !s.0).count(), 6, "an eighth of the places for clients");
        for (_, mut stream) in stayed.into_iter().filter(|s| s.0) {
            assert!(timeout(ms(500), read_message(&mut stream)).await.expect("closed").is_none());
        }
        life.kill();
    });
}

#[test]
fn an_id_that_is_or_was_open_and_a_destination_unheard_of_are_not_taken_on() {
    story(async {
        let world = World::new(|_| Reply::Say(OK.into())).await;
        let mut life = world.forwarder().await;
        assert_eq!(submit(&life, "a", "order").await, 202);
        world.attempt_finished().await;
        assert_eq!(submit(&life, "a", "order").await, 409);
        let nowhere = message("b", "order", 9.0, "").replace("dest=3", "dest=4");
        assert_eq!(status(&ask(life.address, nowhere).await), 503);
        let short = message("d", "order", 9.0, "more than it says").replace("Length: 17", "Length: 4");
        assert_eq!(status(&ask(life.address, short).await), 400);
        // Two ends of one body: what stands behind the first may be a request of its own.
        let inner = message("hidden", "order", 9.0, "");
        let both = message("c", "order", 9.0, &format!("0\r\n\r\n{inner}"));
        let both = both.replace("X-Budget", "Transfer-Encoding: chunked\r\nX-Budget");
        let mut stream = TcpStream::connect(life.address).await.unwrap();
        stream.write_all(both.as_bytes()).await.unwrap();
        assert_eq!(status(&read_message(&mut stream).await.unwrap()), 411);
        assert!(read_message(&mut stream).await.is_none(), "and closed");
        assert_eq!(submit(&life, "last", "order").await, 202);
        until("the last", || world.endpoint.got().iter().any(|m| m.id() == "last").then_some(())).await;
        let ids: Vec<_> = world.endpoint.got().iter().map(|m| m.id().to_owned()).collect();
        assert_eq!(ids, ["a", "last"]);
        life.kill();
    });
}

#[test]
fn a_spoilt_answer_has_run_and_one_whose_first_line_says_so_is_good() {
    story(async {
        let noisy = AtomicUsize::new(0);
        let world = World::new(move |m| {
            Reply::Say(match m.id() {
                "unread" => "HTTP/1.1 200 OK\r\ncontent-length: -7\r\n\r\n".into(),
                "no-end" => format!("HTTP/1.1 200 OK\r\nx-pad: {}", "x".repeat(5000)),
                "huge" => {
                    format!("HTTP/1.1 200 OK\r\ncontent-length: 3000000000\r\n\r\n{}", "x".repeat(500_000))
                }
                "behind-1xx" => {
                    format!("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\na: b\r\n\r\n{OK}")
                }
                "noise-once" if noisy.fetch_add(1, Ordering::Relaxed) > 0 => OK.into(),
                "short" => "HTTP/1.1 429 No\r\ncontent-length: x\r\n\r\n".into(),
                _ => "\0\x01 noise\r\n\r\n".into(),
            })
        })
        .await;
        let mut life = world.forwarder().await;
        for (n, id) in ["unread", "no-end", "huge", "behind-1xx"].into_iter().enumerate() {
            assert_eq!(submit(&life, id, "order").await, 202);
            world.attempt_finished().await;
            assert_eq!((world.notices(), world.endpoint.got().len()), (String::new(), n + 1), "{id}");
        }
        until("all but the good connection are closed", || {
            (world.endpoint.closed.load(Ordering::Relaxed) == 3).then_some(())
        })
        .await;
        assert_eq!(submit(&life, "noise-once", "note").await, 202);
        world.attempt_finished().await;
        for id in ["noise", "short"] {
            assert_eq!(submit(&life, id, "order").await, 202);
            let notice = format!(r#"{{"id":"{id}","status":"undeliverable"}}"#);
            until("a notice", || world.notices().contains(&notice).then_some(())).await;
        }
        let ids: Vec<_> = world.endpoint.got().iter().skip(4).map(|m| m.id().to_owned()).collect();
        assert_eq!(ids, ["noise-once", "noise-once", "noise", "short"]);
        life.kill();
    });
}

#[test]
fn what_a_target_cannot_read_is_given_up_and_rests_nobody() {
    story(async {
        let world = World::new(|m| match m.id() {
            "odd" => Reply::Say("HTTP/1.1 400 Bad\r\ncontent-length: 0\r\n\r\n".into()),
            _ => Reply::Say(OK.into()),
        })
        .await;
        let mut life = world.forwarder().await;
        for id in ["odd", "even"] {
            assert_eq!(submit(&life, id, "note").await, 202);
            world.attempt_finished().await;
        }
        let notice = r#"{"id":"odd","status":"undeliverable"}"#;
        assert_eq!(world.notices().trim(), notice);
        let ids: Vec<_> = world.endpoint.got().iter().map(|m| m.id().to_owned()).collect();
        assert_eq!(ids, ["odd", "even"]);
        life.kill();
    });
}

#[test]
fn what_comes_behind_an_answer_is_not_taken_for_the_next() {
    story(async {
        let world = World::new(|m| match m.id() {
            "a" => Reply::Say(OK.repeat(2)),
            _ => Reply::Silence,
        })
        .await;
        let mut life = world.forwarder().await;
        assert_eq!(submit(&life, "a", "order").await, 202);
        world.attempt_finished().await;
        assert_eq!(submit(&life, "b", "order").await, 202);
        let b = until("the next call", || world.endpoint.got().get(1).cloned()).await;
        assert_eq!(b.connection, 1, "on a connection of its own");
        let notice = r#"{"id":"b","status":"undeliverable"}"#;
        until("its end", || world.notices().contains(notice).then_some(())).await;
        life.kill();
    });
}

#[test]
fn a_call_that_broke_after_its_last_byte_may_have_run() {
    story(async {
        let broken = AtomicUsize::new(0);
        let world = World::new(move |_| match broken.fetch_add(1, Ordering::Relaxed) < 2 {
            true => Reply::Close,
            false => Reply::Say(OK.into()),
        })
        .await;
        let mut life = world.forwarder().await;
        assert_eq!(submit(&life, "once", "order").await, 202);
        let notice = r#"{"id":"once","status":"undeliverable"}"#;
        until("a notice", || world.notices().contains(notice).then_some(())).await;
        assert_eq!(submit(&life, "often", "note").await, 202);
        until("the other again", || world.endpoint.got().into_iter().filter(|m| m.id() == "often").nth(1))
            .await;
        assert_eq!(world.endpoint.got().iter().filter(|m| m.id() == "once").count(), 1);
        life.kill();
    });
}

#[test]
fn what_found_no_connection_goes_to_the_address_that_the_watch_tells() {
    story(async {
        let world = World::new(|_| Reply::Say(OK.into())).await;
        let nobody = "127.0.0.1:1".parse().unwrap();
        let mut life = world.forwarder_knowing(list(1, true, &[listed("t", nobody, 3, "Ready")])).await;
        assert_eq!(submit(&life, "a", "order").await, 202);
        sleep(ms(100)).await;
        world.tell("no list at all".into());
        until("a second watch", || (world.platform.got().len() > 1).then_some(())).await;
        world.tell(list(2, false, &[listed("t", world.endpoint.address, 3, "Ready")]));
        until("the call", || world.endpoint.got().pop()).await;
        assert_eq!(world.notices(), "");
        life.kill();
    });
}

#[test]
fn an_address_that_passes_to_a_new_target_is_connected_to_anew() {
    story(async {
        let world = World::new(|_| Reply::Say(OK.into())).await;
        let mut life = world.forwarder().await;
        assert_eq!(submit(&life, "a", "note").await, 202);
        world.attempt_finished().await;
        let at = world.endpoint.address;
        // The old one serves on for those that are connected to it.
        world.tell(list(2, false, &[listed("t", at, 3, "Terminating"), listed("u", at, 4, "Ready")]));
        let b = message("b", "note", 9.0, "").replace("dest=3", "dest=4");
        until("it is known", || (world.platform.got().len() == 1).then_some(())).await;
        sleep(ms(200)).await;
        assert_eq!(status(&ask(life.address, b).await), 202);
        let b = until("the call", || world.endpoint.got().get(1).cloned()).await;
        assert_eq!((b.id(), b.connection), ("b", 1));
        world.attempt_finished().await;
        world.tell(list(3, false, &[listed("t", at, 3, "Gone")]));
        until("the old one's is closed", || {
            (world.endpoint.closed.load(Ordering::Relaxed) == 1).then_some(())
        })
        .await;
        life.kill();
    });
}

#[test]
fn a_watch_that_falls_silent_is_opened_again() {
    story(async {
        let world = World::new(|_| Reply::Say(OK.into())).await;
        world.platform.now(|_| Reply::Silence);
        let mut life = world.forwarder_knowing(list(1, true, &[])).await;
        assert_eq!(submit(&life, "a", "note").await, 202);
        until("a watch", || world.platform.got().pop()).await;
        world.platform.now(|_| Reply::Stream);
        world.tell(list(2, true, &[listed("t", world.endpoint.address, 3, "Ready")]));
        until("the call", || world.endpoint.got().pop()).await;
        assert_eq!(world.platform.got().len(), 2, "and not more often than needed");
        life.kill();
    });
}

#[test]
fn a_notice_is_overdue_soon_so_that_a_silent_connection_is_left_for_another() {
    story(async {
        let world = World::new(|_| Reply::Close).await;
        let tries = AtomicUsize::new(0);
        world.platform.now(move |m| match m.line.starts_with("GET") {
            true => Reply::Stream,
            false if tries.fetch_add(1, Ordering::Relaxed) < 1 => Reply::Silence,
            false => Reply::Say(NO_CONTENT.into()),
        });
        let mut life = world.forwarder().await;
        assert_eq!(submit(&life, "a", "order").await, 202);
        until("the first try", || world.notices().contains("\"a\"").then_some(())).await;
        let first = Instant::now();
        until("the second", || (world.notices().matches("\"a\"").count() == 2).then_some(())).await;
        assert!(first.elapsed() < ms(900), "{:?}", first.elapsed());
        life.kill();
    });
}

#[test]
fn a_notice_is_sent_again_until_the_platform_has_it() {
    story(async {
        let world = World::new(|_| Reply::Close).await;
        let tries = AtomicUsize::new(0);
        world.platform.now(move |m| match m.line.starts_with("GET") {
            true => Reply::Stream,
            false if tries.fetch_add(1, Ordering::Relaxed) < 2 => Reply::Close,
            false => Reply::Silence,
        });
        let mut life = world.forwarder().await;
        assert_eq!(submit(&life, "a", "order").await, 202);
        until("three tries", || (world.notices().matches("\"a\"").count() >= 3).then_some(())).await;
        life.kill();
        world.platform.now(|m| match m.line.starts_with("GET") {
            true => Reply::Stream,
            false => Reply::Say(NO_CONTENT.into()),
        });
        let mut life = world.forwarder().await;
        until("one more", || (world.notices().matches("\"a\"").count() >= 4).then_some(())).await;
        world.attempt_finished().await;
        let told = world.notices().matches("\"a\"").count();
        life.kill();
        let mut life = world.forwarder().await;
        sleep(ms(300)).await;
        assert_eq!(world.notices().matches("\"a\"").count(), told, "nothing is owed any more");
        life.kill();
    });
}

#[test]
fn what_was_out_at_a_kill_may_have_run_and_the_rest_goes_on() {
    story(async {
        let world = World::new(|_| Reply::Silence).await;
        let mut life = world.forwarder().await;
        assert_eq!(submit(&life, "effectful", "order").await, 202);
        assert_eq!(submit(&life, "pure", "note").await, 202);
        until("both", || (world.endpoint.got().len() == 2).then_some(())).await;
        life.kill();
        world.endpoint.now(|_| Reply::Say(OK.into()));
        let mut life = world.forwarder().await;
        let notice = r#"{"id":"effectful","status":"undeliverable"}"#;
        until("a notice", || world.notices().contains(notice).then_some(())).await;
        until("the pure one again", || world.endpoint.got().get(2).cloned()).await;
        sleep(ms(200)).await;
        assert_eq!(world.endpoint.got().iter().filter(|m| m.id() == "effectful").count(), 1);
        assert!(!world.notices().contains("pure"));
        life.kill();
    });
}

/// Seven in ten killed and the rest asked to stop, all at once, each with calls out and more held; the partner's book
/// is the witness.
#[test]
fn a_mass_restart_repeats_no_effect_and_ends_all_that_was_taken_on() {
    story(async {
        let partner = StandIn::start(|_| Reply::Silence).await;
        let known = list(1, true, &[listed("t", partner.address, 3, "Ready")]).replace("many", "each alone");
        let (mut worlds, mut lives) = (Vec::new(), Vec::new());
        for _ in 0..10 {
            let world = World::new(|_| Reply::Close).await;
            lives.push(world.forwarder_knowing(known.clone()).await);
            worlds.push(world);
        }
        let mut ids = Vec::new();
        for n in 0..12 {
            for (at, life) in lives.iter().enumerate() {
                let class = ["order", "note", "mark"][(n + at) % 3];
                ids.push((format!("{class}-{n}-{at}"), at));
                assert_eq!(submit(life, &ids[ids.len() - 1].0, class).await, 202);
            }
        }
        until("calls of each", || (partner.got().len() >= 20).then_some(())).await;
        for (at, life) in lives.iter_mut().enumerate() {
            match at < 7 {
                true => drop(life.kill.take()),
                false => drop(life.stop.take()),
            }
        }
        for life in &mut lives {
            life.thread.take().unwrap().join().unwrap();
        }
        let before = partner.got().len();
        partner.now(|_| Reply::Say(OK.into()));
        lives.clear();
        for world in &worlds {
            lives.push(world.forwarder_knowing(known.clone()).await);
        }
        for world in &worlds {
            world.attempt_finished().await;
        }
        let book = partner.got();
        for (id, at) in &ids {
            let runs = book.iter().filter(|call| call.id() == id).count();
            assert!(runs <= 1 || !id.starts_with("order"), "{id} had its effect {runs} times");
            let delivered = book[before..].iter().any(|call| call.id() == id);
            assert!(delivered || worlds[*at].notices().contains(id.as_str()), "{id} has no end");
        }
        assert!(book[..before].iter().any(|call| call.id().starts_with("order")), "some were out");
        lives.iter_mut().for_each(Life::kill);
    });
}

#[test]
fn what_was_not_begun_at_a_kill_is_delivered_after_it_even_if_effectful() {
    story(async {
        let world = World::new(|_| Reply::Say(OK.into())).await;
        let mut life = world.forwarder_knowing(list(1, true, &[])).await;
        assert_eq!(submit(&life, "a", "order").await, 202);
        life.kill();
        let mut life = world.forwarder().await;
        let call = until("the call", || world.endpoint.got().pop()).await;
        assert_eq!((call.id(), call.body.as_str()), ("a", "body of it"));
        life.kill();
    });
}

#[test]
fn envelopes_for_one_target_travel_as_a_bundle_and_end_each_in_its_way() {
    story(async {
        let world = World::new(|m| match m.line.contains("/events/bundle") {
            true => {
                let body = "o1 accepted\r\no2 fault\r\no3 deferred\r\n";
                Reply::Say(format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len()))
            }
            false => Reply::Say(OK.into()),
        })
        .await;
        let mut life = world.forwarder_knowing(list(1, true, &[])).await;
        for id in ["o1", "o2", "o3"] {
            assert_eq!(submit(&life, id, "order").await, 202);
        }
        world.tell(list(2, true, &[listed("t", world.endpoint.address, 3, "Ready")]));
        let batch_request = until("a bundle", || world.endpoint.got().first().cloned()).await;
        assert_eq!(batch_request.line, "POST /events/bundle HTTP/1.1");
        let frames = ["o1", "o2", "o3"].map(|id| format!("{id} - 10\r\nbody of it\r\n"));
        assert_eq!(batch_request.body, frames.concat());
        let failed = r#"{"id":"o2","status":"undeliverable"}"#;
        until("a notice", || world.notices().contains(failed).then_some(())).await;
        let again = until("the deferred one", || world.endpoint.got().get(1).cloned()).await;
        assert_eq!(again.id(), "o3");
        assert!(!world.notices().contains("o1") && !world.notices().contains("o3"));
        life.kill();
    });
}

#[test]
fn an_idempotency_key_goes_with_its_envelope_also_after_a_restart_and_beside_those_without() {
    story(async {
        let world = World::new(|m| match m.line.contains("/events/bundle") {
            true => Reply::Close,
            false => Reply::Say(OK.into()),
        })
        .await;
        let mut life = world.forwarder_knowing(list(1, true, &[])).await;
        let keyed = |id: &str| {
            let key = format!("X-Call-Id: {id}\r\nIdempotency-Key: key-of-{id}");
            message(id, "mark", 15.0, "body of it").replace(&format!("X-Call-Id: {id}"), &key)
        };
        for request in [keyed("m1"), keyed("m2"), message("n1", "note", 15.0, "body of it")] {
            assert_eq!(status(&ask(life.address, request).await), 202);
        }
        life.kill();
        let mut life = world.forwarder().await;
        // What breaks in the batch goes again, by and by alone.
        world.attempt_finished().await;
        let (split_into_batches, singles): (Vec<_>, Vec<_>) =
            world.endpoint.got().into_iter().partition(|m| m.line.contains("/events/bundle"));
        let lines =
            split_into_batches.iter().flat_map(|m| m.body.lines()).filter(|line| line.ends_with(" 10"));
        let lines: BTreeSet<&str> = lines.collect();
        assert!(
            lines.iter().all(|l| ["m1 key-of-m1 10", "m2 key-of-m2 10", "n1 - 10"].contains(l)),
            "{lines:?}"
        );
        assert!(lines.len() + singles.len() >= 3, "{lines:?}");
        for call in singles {
            let key = call.headers.get("idempotency-key").map(String::as_str);
            let expected = [("m1", Some("key-of-m1")), ("m2", Some("key-of-m2")), ("n1", None)];
            assert!(expected.contains(&(call.id(), key)), "{call:?}");
        }
        life.kill();
    });
}

#[test]
fn a_call_that_is_not_answered_in_time_is_given_up_with_its_connection() {
    story(async {
        let world = World::new(|_| Reply::Silence).await;
        let mut life = world.forwarder().await;
        assert_eq!(submit(&life, "a", "order").await, 202);
        until("the call", || world.endpoint.got().pop()).await;
        until("its end", || (world.endpoint.closed.load(Ordering::Relaxed) == 1).then_some(())).await;
        until("a notice", || world.notices().contains("undeliverable").then_some(())).await;
        life.kill();
    });
}

#[test]
fn a_call_whose_connection_comes_up_inside_a_told_wait_does_not_go() {
    story(async {
        let endpoint = StandIn::start(|_| Reply::Say(OK.into())).await;
        let connections = Connections::new(4, ms(1000), ms(5000));
        let mut request_sender = RequestSender { connections: connections.clone() };
        // Told by the answer to another call, while this one is on its way to a connection.
        connections.rest(EndpointId(1), tokio::time::Instant::now() + ms(300));
        let early = request_sender.call(call_to(&endpoint, "early")).await.unwrap();
        assert_eq!(
            (&early.results[..], endpoint.got().len()),
            (&[(0, AttemptResult::RetryAfterActive)][..], 0)
        );
        assert!(AttemptResult::RetryAfterActive.outcome().proves_not_executed());
        until("the end of the wait", || connections.open_to(EndpointId(1)).ok()).await;
        let after = request_sender.call(call_to(&endpoint, "after")).await.unwrap();
        assert_eq!(after.results, [(0, AttemptResult::Completed)]);
        assert_eq!(endpoint.got()[0].connection, 0, "and finds the connection that came up for the other");
    });
}

#[test]
fn where_answers_tell_of_limits_what_they_refuse_is_delivered_under_them() {
    story(async {
        let said = |status: &str, left: &str| {
            Reply::Say(format!(
                "HTTP/1.1 {status}\r\nX-Load-Report: x0={left},x1=50\r\ncontent-length: 0\r\n\r\n"
            ))
        };
        let calls = AtomicUsize::new(0);
        let script = move |_: &Message| match calls.fetch_add(1, Ordering::Relaxed) {
            0 => said("503 x", "0.0"),
            _ => said("200 OK", "0.8"),
        };
        let mut world = World::new(script).await;
        world.asking = true;
        let life = world.forwarder().await;
        assert_eq!(submit(&life, "a", "order").await, 202);
        world.attempt_finished().await;
        assert_eq!(
            (world.endpoint.got().len(), world.notices().as_str()),
            (2, ""),
            "refused, then delivered"
        );
        let mut request_sender = RequestSender { connections: Connections::new(4, ms(1000), ms(5000)) };
        let carried = request_sender.call(call_to(&world.endpoint, "b")).await.unwrap();
        assert_eq!(carried.report, Some(LoadReport { left: 0.8, limit: 50.0 }));
    });
}

#[test]
fn a_wait_in_an_answer_that_breaks_off_is_told_all_the_same() {
    story(async {
        let cut = "HTTP/1.1 429 x\r\nretry-after: 0.7\r\ncontent-length: 50\r\n\r\nhalf";
        let endpoint = StandIn::start(|_| Reply::SayAndClose(cut.into())).await;
        let mut request_sender = RequestSender { connections: Connections::new(4, ms(1000), ms(5000)) };
        let carried = request_sender.call(call_to(&endpoint, "cut")).await.unwrap();
        assert_eq!(
            (&carried.results[..], carried.wait),
            (&[(0, AttemptResult::MalformedResponse)][..], Some(ms(700)))
        );
    });
}

#[test]
fn what_is_given_up_before_its_connection_came_up_never_ran() {
    story(async {
        let endpoint = Crowded::new();
        for cancelled in [false, true] {
            let (events, mut heard) = mpsc::channel(4);
            let call = call(endpoint.address, &[("a", ms(if cancelled { 20_000 } else { 100 }))]);
            let (dispatched, mut stops) = dispatched(&call, ms(20_000));
            let request_sender = RequestSender { connections: Connections::new(4, ms(30_000), ms(5000)) };
            let carrying = tokio::spawn(run_request(request_sender, call, dispatched, events));
            if cancelled {
                stops.remove(0).send(()).unwrap();
            }
            let Some(Event::Ended { result, .. }) = heard.recv().await else { panic!("its end") };
            assert_eq!(
                result,
                if cancelled { AttemptResult::NotSent } else { AttemptResult::ConnectTimedOut }
            );
            assert!(result.outcome().proves_not_executed());
            carrying.await.unwrap();
        }
    });
}

#[test]
fn an_idle_connection_is_closed_before_the_target_would() {
    story(async {
        let mut world = World::new(|_| Reply::Say(OK.into())).await;
        world.closed_after = ms(600);
        let mut life = world.forwarder().await;
        assert_eq!(submit(&life, "a", "note").await, 202);
        until("it is closed", || (world.endpoint.closed.load(Ordering::Relaxed) == 1).then_some(())).await;
        assert_eq!(submit(&life, "b", "order").await, 202);
        let call = until("the second call", || world.endpoint.got().get(1).cloned()).await;
        assert_eq!(call.connection, 1);
        life.kill();
    });
}

#[test]
fn after_kept_connections_were_found_dead_those_that_stood_as_long_are_not_used() {
    story(async {
        let used = Mutex::new(BTreeMap::<usize, Instant>::new());
        let world = World::new(move |m| {
            // Whoever keeps these connections drops them after a tenth of a second, and tells nobody.
            let before = used.lock().unwrap().insert(m.connection, Instant::now());
            match before.is_some_and(|before| before.elapsed() > ms(100)) {
                true => Reply::Close,
                false => Reply::Say(OK.into()),
            }
        })
        .await;
        let mut life = world.forwarder().await;
        for n in 0..10 {
            // The first finds none kept, six find out, and what must not be sent twice comes after them.
            let class = if n < 7 { "note" } else { "order" };
            assert_eq!(submit(&life, &format!("e{n}"), class).await, 202);
            world.attempt_finished().await;
            sleep(ms(200)).await;
        }
        assert_eq!(world.notices(), "");
        assert_eq!(world.endpoint.got().len(), 16, "six were sent twice");
        life.kill();
    });
}

#[test]
fn asked_to_stop_it_says_so_serves_on_and_ends_what_it_can() {
    story(async {
        let both = "HTTP/1.1 200 OK\r\ncontent-length: 30\r\n\r\nheld accepted\r\nlate accepted\r\n";
        let world = World::new(|_| Reply::Say(both.into())).await;
        let mut life = world.forwarder_knowing(list(1, true, &[])).await;
        assert_eq!(submit(&life, "held", "note").await, 202);
        life.stop.take();
        let health = || ask(life.address, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n".into());
        while status(&health().await) == 200 {}
        let answer = ask(life.address, message("late", "note", 9.0, "")).await;
        assert_eq!(status(&answer), 202);
        assert_eq!(answer.headers["connection"], "close");
        world.tell(list(2, true, &[listed("t", world.endpoint.address, 3, "Ready")]));
        let thread = life.thread.take().unwrap();
        until("its end", || thread.is_finished().then_some(())).await;
        // Both, in one call.
        assert!(world.endpoint.got().iter().any(|m| m.body.contains("held") && m.body.contains("late")));
        assert_eq!(world.notices(), "");
    });
}

#[test]
fn without_room_on_the_machine_nothing_is_taken_on() {
    story(async {
        let mut world = World::new(|_| Reply::Silence).await;
        world.resources.disk_bytes = 12_000;
        let mut life = world.forwarder_knowing(list(1, true, &[])).await;
        let mut answers = Vec::new();
        for n in 0..12 {
            answers.push(submit(&life, &format!("e{n}"), "note").await);
        }
        assert_eq!((answers[0], answers[11]), (202, 503));
        let on_disk: u64 =
            std::fs::read_dir(&world.folder).unwrap().map(|f| f.unwrap().metadata().unwrap().len()).sum();
        assert!(on_disk <= 12_000);
        life.kill();
        let mut few = World::new(|_| Reply::Say(OK.into())).await;
        few.resources.descriptors = 64;
        let mut life = few.forwarder().await;
        let mut held = Vec::new();
        for _ in 0..25 {
            held.push(TcpStream::connect(life.address).await.unwrap());
        }
        let start = Instant::now();
        while submit(&life, "fits", "note").await != 202 {
            assert!(start.elapsed() < ms(1000), "held by clients that say nothing");
        }
        life.kill();
    });
}
