//! A forwarder at its disk and descriptor limits.

use std::time::Instant;

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
