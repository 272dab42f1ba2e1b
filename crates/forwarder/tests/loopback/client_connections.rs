//! Client connections near the limits: which are kept, which are closed, and which responses are still sent.

use std::time::Instant;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::support::*;

#[test]
fn inactive_clients_are_disconnected_in_time_and_do_not_block_new_connections() {
    run_test(async {
        let test_bed = TestBed::with_working_endpoint().await.with_descriptor_limit(64);
        let forwarder = test_bed.start_forwarder().await;
        let mut connected = Vec::new();
        for n in 0..40 {
            // Some clients send a request and stay connected, others send nothing or part of a request.
            let mut stream = TcpStream::connect(forwarder.address).await.unwrap();
            let sent = match n % 4 {
                0 => submission(&format!("e{n}"), "note", 9.0, ""),
                1 => "POST /api HTTP/1.1\r\nX-Ca".into(),
                2 => submission("half", "note", 9.0, "all of it").replace("all of it", "al"),
                _ => String::new(),
            };
            stream.write_all(sent.as_bytes()).await.unwrap();
            if n % 4 == 0 {
                assert_eq!(read_message(&mut stream).await.unwrap().status(), 202, "response to client {n}");
            }
            connected.push((Instant::now(), stream));
            sleep(ms(30)).await;
        }
        for (since, mut stream) in connected {
            let mut rest = Vec::new();
            let _ = timeout(ms(5000), stream.read_to_end(&mut rest))
                .await
                .expect("expected the connection to be closed");
            assert!(since.elapsed() < ms(4500), "connection was closed only after {:?}", since.elapsed());
        }
        forwarder.kill();
    });
}

#[test]
fn connections_beyond_the_keep_alive_limit_are_closed_after_their_response() {
    run_test(async {
        let test_bed = TestBed::with_working_endpoint().await.with_descriptor_limit(112);
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
        assert_eq!(kept, 6, "expected to keep one eighth of the client connections");
        for (_, mut stream) in connected.into_iter().filter(|(closing, _)| *closing) {
            assert!(timeout(ms(500), read_message(&mut stream))
                .await
                .expect("expected the connection to be closed")
                .is_none());
        }
        forwarder.kill();
    });
}

#[test]
fn evicted_connection_receives_its_complete_response() {
    run_test(async {
        let test_bed = TestBed::with_working_endpoint().await.with_descriptor_limit(96);
        let forwarder = test_bed.start_forwarder().await;
        let mut evicted = forwarder.connect_and_send(&submission("a", "note", 15.0, "x")).await;
        test_bed.endpoint.wait_for_request().await;
        // Requests with incomplete bodies take all other connections. One more evicts the first connection.
        let mut others = Vec::new();
        for _ in 0..30 {
            others.push(forwarder.connect_and_send(&submission_without_last_byte()).await);
        }
        assert_eq!(read_message(&mut evicted).await.expect("expected a response").status(), 202);
        assert_eq!(read_to_end(&mut evicted).await.expect("connection was reset"), "");
        for half in ["POST /api HTTP/1.1\r\n", "X-Call-Id: late\r\n"] {
            evicted.write_all(half.as_bytes()).await.expect("expected late data to be discarded");
        }
        assert_eq!(test_bed.endpoint.received().len(), 1);
        forwarder.kill();
    });
}
