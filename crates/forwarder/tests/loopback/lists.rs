//! Long lists, lists that break off, and lists that can't be read.

use std::net::SocketAddr;

use reeddock_forwarder::malformed_list::BYTES_A_SECOND;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout, Instant};

use crate::stand_ins::*;

/// A discovery that tells what a story writes, byte by byte if need be.
struct Discovery {
    listener: TcpListener,
    address: SocketAddr,
}

/// One watch on it.
struct Watch {
    stream: TcpStream,
    /// The generation after which it was asked.
    after: u64,
}

impl Discovery {
    async fn start() -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        Discovery { listener, address }
    }

    /// The next watch that is asked for; notices are answered beside it.
    async fn watched(&self) -> Watch {
        loop {
            let (mut stream, _) = self.listener.accept().await.unwrap();
            let Some(request) = read_message(&mut stream).await else { continue };
            let Some((_, after)) = request.line.split_once("stream=1&index=") else {
                stream.write_all(NO_CONTENT.as_bytes()).await.unwrap();
                continue;
            };
            let after = after.split(' ').next().unwrap().parse().unwrap();
            let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
            stream.write_all(head.as_bytes()).await.unwrap();
            return Watch { stream, after };
        }
    }
}

impl Watch {
    async fn write(&mut self, text: &str) {
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        self.stream.write_all(chunk.as_bytes()).await.unwrap();
    }
}

/// Entries of endpoints that nobody sends to.
fn others(count: usize) -> String {
    let entry =
        |n: usize| listed(&format!("other-{n}"), "127.0.0.1:9".parse().unwrap(), 100 + n as u64, "Ready");
    (0..count).map(entry).collect::<Vec<_>>().join(",")
}

async fn health(life: &Life) -> (u16, String) {
    let answer = ask(life.address, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n".into()).await;
    (status(&answer), answer.body)
}

async fn delivered(life: &Life, at: &StandIn, id: &str) {
    assert_eq!(submit(life, id, "note").await, 202);
    until(id, || at.got().into_iter().find(|m| m.id() == id)).await;
}

/// Until messages for destination 3 reach an endpoint at this place.
async fn reaches(life: &Life, at: &StandIn) {
    let start = Instant::now();
    for n in 0.. {
        let id = format!("reaches-{n}-{}", at.address.port());
        assert_eq!(submit(life, &id, "note").await, 202);
        if timeout(ms(50), until(&id, || at.got().into_iter().find(|m| m.id() == id))).await.is_ok() {
            return;
        }
        assert!(start.elapsed() < ms(10_000), "the list is never in force");
    }
}

#[test]
fn a_long_list_is_applied_in_pieces_while_envelopes_come_and_go() {
    story(async {
        let world = World::new(|_| Reply::Say(OK.into())).await;
        let elsewhere = StandIn::start(|_| Reply::Say(OK.into())).await;
        let discovery = Discovery::start().await;
        world.moves.send_replace(discovery.address);
        let mut life = world.forwarder_knowing(list(1, true, &[])).await;
        assert_eq!(health(&life).await, (200, "ok; no target list yet: discovery has told none\n".into()));
        let mut watch = discovery.watched().await;
        let t = listed("t", world.endpoint.address, 3, "Ready");
        let others = others(5000);
        let (head, tail) = others.split_at(others.len() / 2);
        watch.write(&format!("{{\"generation\":7,\"reset\":true,\"instances\":[{t},{head}")).await;
        // What has come of it holds, though it has not come to its end.
        for n in 0..3 {
            delivered(&life, &world.endpoint, &format!("meanwhile-{n}")).await;
        }
        assert!(health(&life).await.1.starts_with("ok; no target list yet"));
        watch.write(tail).await;
        watch.write("]}\n").await;
        until_health(&life, "ok\n").await;
        // A change comes after it in the same watch, and a second whole list.
        let change = list(8, false, &[listed("t", elsewhere.address, 3, "Ready")]);
        watch.write(&format!("{change}\n")).await;
        reaches(&life, &elsewhere).await;
        watch
            .write(&format!("{}\n{}\n", list(9, true, std::slice::from_ref(&t)), list(10, true, &[t])))
            .await;
        reaches(&life, &world.endpoint).await;
        drop(watch);
        assert_eq!(discovery.watched().await.after, 10);
        life.kill();
    });
}

async fn until_health(life: &Life, told: &str) {
    let start = Instant::now();
    while health(life).await != (200, told.into()) {
        assert!(start.elapsed() < ms(10_000), "{:?}, and never {told:?}", health(life).await);
        sleep(ms(5)).await;
    }
}

#[test]
fn what_a_list_that_breaks_off_did_not_name_stays_and_it_is_asked_for_again() {
    story(async {
        let world = World::new(|_| Reply::Say(OK.into())).await;
        let elsewhere = StandIn::start(|_| Reply::Say(OK.into())).await;
        let discovery = Discovery::start().await;
        world.moves.send_replace(discovery.address);
        let mut life = world.forwarder().await;
        let mut watch = discovery.watched().await;
        assert_eq!(watch.after, 1);
        let others = others(1000);
        watch.write(&format!("{{\"generation\":7,\"reset\":true,\"instances\":[{others}")).await;
        drop(watch);
        // Asked for anew, as if nothing of it had come.
        let mut watch = discovery.watched().await;
        assert_eq!(watch.after, 1);
        delivered(&life, &world.endpoint, "after-the-break").await;
        let whole = list(8, true, &[listed("u", elsewhere.address, 3, "Ready")]);
        let (head, tail) = whole.split_at(whole.len() / 2);
        watch.write(head).await;
        // Discovery moves in the middle of the next.
        let moved = Discovery::start().await;
        world.moves.send_replace(moved.address);
        let mut watch = moved.watched().await;
        assert_eq!(watch.after, 1);
        delivered(&life, &world.endpoint, "after-the-move").await;
        watch.write(head).await;
        watch.write(&format!("{tail}\n")).await;
        reaches(&life, &elsewhere).await;
        life.kill();
    });
}

#[test]
fn a_forwarder_that_is_told_to_stop_in_the_middle_of_a_list_stops() {
    story(async {
        let world = World::new(|_| Reply::Say(OK.into())).await;
        let discovery = Discovery::start().await;
        world.moves.send_replace(discovery.address);
        let mut life = world.forwarder().await;
        let mut watch = discovery.watched().await;
        watch.write(&format!("{{\"generation\":7,\"reset\":true,\"instances\":[{}", others(1000))).await;
        delivered(&life, &world.endpoint, "before").await;
        life.stop.take();
        let thread = life.thread.take().unwrap();
        until("its end", || thread.is_finished().then_some(())).await;
    });
}

#[test]
fn a_list_that_cannot_be_read_is_said_and_left_alone_by_what_it_cost() {
    story(async {
        let world = World::new(|_| Reply::Say(OK.into())).await;
        let discovery = Discovery::start().await;
        world.moves.send_replace(discovery.address);
        let mut life = world.forwarder_knowing(list(1, true, &[])).await;
        let mut watch = discovery.watched().await;
        let entries = others(100);
        let bytes = entries.len() as u64;
        watch.write(&format!("{{\"generation\":7,\"reset\":true,\"instances\":[{entries},{{}}]}}\n")).await;
        let start = Instant::now();
        let told = until_trouble(&life).await;
        assert!(told.starts_with("ok; no target list yet: it can't be read: byte "), "{told}");
        assert!(told.contains("instances[100]: missing field `instanceId`"), "{told}");
        // Half of the mean rest at least, and one and a half of it at most.
        let mut watch = discovery.watched().await;
        let rest = start.elapsed();
        let mean = ms(bytes * 1000 / BYTES_A_SECOND);
        assert!(rest >= mean / 2 && rest <= mean * 3 / 2 + ms(5000), "{rest:?}, on average {mean:?}");
        assert_eq!(watch.after, 1);
        watch
            .write(&format!("{}\n", list(8, true, &[listed("t", world.endpoint.address, 3, "Ready")])))
            .await;
        until_health(&life, "ok\n").await;
        delivered(&life, &world.endpoint, "then").await;
        // The list that is in force stays in force under one that can't be read.
        watch.write("{\"generation\":9,\"instances\":7}\n").await;
        let told = until_trouble(&life).await;
        assert!(told.starts_with("ok; the newest target list can't be read: byte "), "{told}");
        delivered(&life, &world.endpoint, "under-it").await;
        life.kill();
    });
}

/// What the health check says of a list that can't be read.
async fn until_trouble(life: &Life) -> String {
    let start = Instant::now();
    loop {
        let (status, told) = health(life).await;
        assert_eq!(status, 200);
        if told.contains("can't be read") {
            return told;
        }
        assert!(start.elapsed() < ms(10_000), "never said");
        sleep(ms(5)).await;
    }
}
