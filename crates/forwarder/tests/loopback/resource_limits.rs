//! A forwarder at its disk, descriptor and memory limits.

use std::time::Instant;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::support::*;

#[test]
fn submissions_are_rejected_at_the_disk_limit() {
    run_test(async {
        let test_bed = TestBed::new(|_| ScriptedResponse::NeverRespond).await.with_disk_limit(12_000);
        let forwarder = test_bed.start_forwarder_with_list(empty_list()).await;
        let mut statuses = Vec::new();
        for n in 0..12 {
            statuses.push(forwarder.submit(&format!("e{n}"), "note").await);
        }
        assert_eq!((statuses[0], statuses[11]), (202, 503));
        let files = std::fs::read_dir(test_bed.state_folder()).unwrap();
        let on_disk: u64 = files.map(|file| file.unwrap().metadata().unwrap().len()).sum();
        assert!(on_disk <= 12_000);
        forwarder.kill();
    });
}

#[test]
fn inactive_connections_at_the_descriptor_limit_do_not_block_submissions() {
    run_test(async {
        let test_bed = TestBed::with_working_endpoint().await.with_descriptor_limit(64);
        let forwarder = test_bed.start_forwarder().await;
        let mut silent = Vec::new();
        for _ in 0..25 {
            silent.push(TcpStream::connect(forwarder.address).await.unwrap());
        }
        let start = Instant::now();
        while forwarder.submit("fits", "note").await != 202 {
            assert!(start.elapsed() < ms(1000), "submission blocked by clients that send nothing");
        }
        forwarder.kill();
    });
}

/// Guards against memory for bodies that is not given back, and against a connection that is lost because the
/// body of a rejected submission was not read.
#[test]
fn submission_beyond_the_memory_for_bodies_is_rejected_and_its_connection_stays_open() {
    run_test(async {
        // An eighth is for request bodies: enough for one of the largest, but not for two.
        let test_bed = TestBed::with_working_endpoint().await.with_memory_limit(1_000_000);
        let forwarder = test_bed.start_forwarder().await;
        let body = "x".repeat(64 * 1024);
        let mut client = TcpStream::connect(forwarder.address).await.unwrap();
        let mut number = 0;
        let mut rejected = false;
        let mut incomplete = None;
        while !rejected {
            // Repeated, because the incomplete request is answered with 408 after a time.
            let mut other = TcpStream::connect(forwarder.address).await.unwrap();
            let request = submission(&format!("incomplete-{number}"), "note", 9.0, &body);
            other.write_all(&request.as_bytes()[..request.len() - 1]).await.unwrap();
            incomplete = Some(other);
            rejected = submit_on(&mut client, &format!("m{number}"), &body).await == 503;
            number += 1;
        }
        drop(incomplete);
        let start = Instant::now();
        while submit_on(&mut client, &format!("again-{number}"), &body).await != 202 {
            assert!(
                start.elapsed() < ms(2000),
                "memory of a request whose client is gone was not given back"
            );
            number += 1;
        }
        forwarder.kill();
    });
}

/// Submits a message on an open connection and returns the status of the response.
async fn submit_on(client: &mut TcpStream, id: &str, body: &str) -> u16 {
    client.write_all(submission(id, "note", 9.0, body).as_bytes()).await.unwrap();
    read_message(client).await.expect("a response").status()
}
