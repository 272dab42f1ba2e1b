//! Delivery notices: retried until acknowledged, kept across restarts, and independent of each other.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Instant;

use reeddock_protocol::FinalAnswer;
use reeddock_wal::Record;
use tokio::time::sleep;

use crate::support::*;

/// Returns a platform script that answers the first `count` notices with `first` and later ones with `then`.
fn notice_script(
    count: usize,
    first: fn() -> ScriptedResponse,
    then: fn() -> ScriptedResponse,
) -> impl Fn(&HttpMessage) -> ScriptedResponse + Send + Sync + 'static {
    let notices = AtomicUsize::new(0);
    move |m| match m.start_line.starts_with("GET") {
        true => ScriptedResponse::StreamListUpdates,
        false if notices.fetch_add(1, Ordering::Relaxed) < count => first(),
        false => then(),
    }
}

fn acknowledge() -> ScriptedResponse {
    ScriptedResponse::Send(NO_CONTENT_RESPONSE.into())
}

/// Returns the number of notices about message "a" that the platform received.
fn count_notices_for_message_a(test_bed: &TestBed) -> usize {
    test_bed.notices().matches("\"a\"").count()
}

#[test]
fn unanswered_notice_is_soon_retried_on_another_connection() {
    run_test(async {
        let test_bed = TestBed::new(|_| ScriptedResponse::CloseConnection).await;
        test_bed.platform.set_script(notice_script(1, || ScriptedResponse::NeverRespond, acknowledge));
        let forwarder = test_bed.start_forwarder().await;
        assert_eq!(forwarder.submit("a", "order").await, 202);
        test_bed.wait_for_notice("\"a\"").await;
        let first = Instant::now();
        wait_for("the second notice", || (count_notices_for_message_a(&test_bed) == 2).then_some(())).await;
        assert!(first.elapsed() < ms(900), "second notice came only after {:?}", first.elapsed());
        forwarder.kill();
    });
}

#[test]
fn notice_is_retried_across_restarts_until_acknowledged() {
    run_test(async {
        let test_bed = TestBed::new(|_| ScriptedResponse::CloseConnection).await;
        let script =
            notice_script(2, || ScriptedResponse::CloseConnection, || ScriptedResponse::NeverRespond);
        test_bed.platform.set_script(script);
        let forwarder = test_bed.start_forwarder().await;
        assert_eq!(forwarder.submit("a", "order").await, 202);
        wait_for("three notices", || (count_notices_for_message_a(&test_bed) >= 3).then_some(())).await;
        forwarder.kill();
        test_bed.platform.set_script(notice_script(0, acknowledge, acknowledge));
        let forwarder = test_bed.start_forwarder().await;
        wait_for("another notice", || (count_notices_for_message_a(&test_bed) >= 4).then_some(())).await;
        test_bed.wait_until_all_finished().await;
        let sent = count_notices_for_message_a(&test_bed);
        forwarder.kill();
        let forwarder = test_bed.start_forwarder().await;
        sleep(ms(300)).await;
        assert_eq!(count_notices_for_message_a(&test_bed), sent, "expected no unacknowledged notice");
        forwarder.kill();
    });
}

#[test]
fn malformed_notice_does_not_block_other_notices() {
    run_test(async {
        let test_bed = TestBed::new(|_| ScriptedResponse::NeverRespond).await;
        test_bed.platform.set_script(|m| match m.body.contains("\"bad\"") {
            true => ScriptedResponse::Send("HTTP/1.1 400 Bad Request\r\ncontent-length: 0\r\n\r\n".into()),
            false => platform_script(m),
        });
        // The forwarder sends all six unacknowledged notices in one request when it starts.
        let ids = ["a", "b", "bad", "c", "d", "e"];
        let finished = |id: &str| Record::Finished { id: id.into(), notice: Some(FinalAnswer::Failed) };
        test_bed.write_records(&ids.map(finished));
        let forwarder = test_bed.start_forwarder().await;
        test_bed.wait_until_all_finished().await;
        let notices = test_bed.platform.received().into_iter().filter(|m| m.start_line.contains("finals"));
        let read: String = notices.filter(|m| !m.body.contains("\"bad\"")).map(|m| m.body).collect();
        for id in ids.into_iter().filter(|id| *id != "bad") {
            assert!(
                read.contains(&format!(r#"{{"id":"{id}","status":"undeliverable"}}"#)),
                "expected the notice about {id} in {read}"
            );
        }
        forwarder.kill();
    });
}
