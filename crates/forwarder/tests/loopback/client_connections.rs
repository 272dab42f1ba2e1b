//! Connections of clients when there are many: which are kept, which are closed, and what a closed one still gets.

use std::time::Instant;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::support::*;

#[test]
fn silent_clients_are_closed_in_time_and_keep_nobody_from_connecting() {
    run_test(async {
        let test_bed = TestBed::with_working_endpoint().await.with_descriptors(64);
        let forwarder = test_bed.start_forwarder().await;
        let mut connected = Vec::new();
        for n in 0..40 {
            // Some send a request and stay, others send nothing or a part of a request.
            let mut stream = TcpStream::connect(forwarder.address).await.unwrap();
            let sent = match n % 4 {
                0 => submission(&format!("e{n}"), "note", 9.0, ""),
                1 => "POST /api HTTP/1.1\r\nX-Ca".into(),
                2 => submission("half", "note", 9.0, "all of it").replace("all of it", "al"),
                _ => String::new(),
            };
            stream.write_all(sent.as_bytes()).await.unwrap();
            if n % 4 == 0 {
                assert_eq!(read_message(&mut stream).await.unwrap().status(), 202, "{n}");
            }
            connected.push((Instant::now(), stream));
            sleep(ms(30)).await;
        }
        for (since, mut stream) in connected {
            let mut rest = Vec::new();
            let _ = timeout(ms(5000), stream.read_to_end(&mut rest)).await.expect("closed");
            assert!(since.elapsed() < ms(4500), "{:?}", since.elapsed());
        }
        forwarder.kill();
    });
}

#[test]
fn with_many_clients_connected_each_further_one_is_closed_after_its_response() {
    run_test(async {
        let test_bed = TestBed::with_working_endpoint().await.with_descriptors(112);
        let forwarder = test_bed.start_forwarder().await;
        let mut connected = Vec::new();
        for n in 0..20 {
            let request = submission(&format!("e{n}"), "note", 9.0, "");
            let mut stream = forwarder.connect_and_send(&request).await;
            let response = read_message(&mut stream).await.unwrap();
            assert_eq!(response.status(), 202);
            connected.push((response.headers.contains_key("connection"), stream));
        }
        let kept = connected.iter().filter(|(closing, _)| !closing).count();
        assert_eq!(kept, 6, "an eighth of the places for clients");
        for (_, mut stream) in connected.into_iter().filter(|(closing, _)| *closing) {
            assert!(timeout(ms(500), read_message(&mut stream)).await.expect("closed").is_none());
        }
        forwarder.kill();
    });
}

#[test]
fn a_connection_that_is_closed_to_make_room_gets_its_response_whole() {
    run_test(async {
        let test_bed = TestBed::with_working_endpoint().await.with_descriptors(96);
        let forwarder = test_bed.start_forwarder().await;
        let mut evicted = forwarder.connect_and_send(&submission("a", "note", 15.0, "x")).await;
        test_bed.endpoint.wait_for_request().await;
        // Requests that lack the end of their bodies take all other connections; one more evicts this one.
        let mut others = Vec::new();
        for _ in 0..30 {
            others.push(forwarder.connect_and_send(&submission_without_its_last_byte()).await);
        }
        assert_eq!(read_message(&mut evicted).await.expect("its response").status(), 202);
        assert_eq!(read_to_end(&mut evicted).await.expect("an end, not a reset"), "");
        for half in ["POST /api HTTP/1.1\r\n", "X-Call-Id: late\r\n"] {
            evicted.write_all(half.as_bytes()).await.expect("read and thrown away");
        }
        assert_eq!(test_bed.endpoint.received().len(), 1);
        forwarder.kill();
    });
}
