//! Changes of the endpoint list while messages are pending.

use tokio::time::sleep;

use crate::support::*;

#[test]
fn message_without_a_connection_is_sent_to_the_address_in_the_next_list() {
    run_test(async {
        let test_bed = TestBed::with_working_endpoint().await;
        let unreachable = list_entry("t", "127.0.0.1:1".parse().unwrap(), 3, "Ready");
        let forwarder = test_bed.start_forwarder_with_list(endpoint_list(1, true, &[unreachable])).await;
        assert_eq!(forwarder.submit("a", "order").await, 202);
        sleep(ms(100)).await;
        test_bed.publish_list_update("no list at all".into());
        wait_for("a second watch", || (test_bed.platform.received().len() > 1).then_some(())).await;
        test_bed.publish_list_update(endpoint_list(2, false, &[test_bed.endpoint_entry("Ready")]));
        test_bed.endpoint.wait_for_request().await;
        assert_eq!(test_bed.notices(), "");
        forwarder.kill();
    });
}

#[test]
fn watch_without_a_response_is_reopened() {
    run_test(async {
        let test_bed = TestBed::with_working_endpoint().await;
        test_bed.platform.set_script(|_| ScriptedResponse::NeverRespond);
        let forwarder = test_bed.start_forwarder_with_list(empty_list()).await;
        assert_eq!(forwarder.submit("a", "note").await, 202);
        test_bed.platform.wait_for_request().await;
        test_bed.platform.set_script(|_| ScriptedResponse::StreamListUpdates);
        test_bed.publish_endpoint(2);
        test_bed.endpoint.wait_for_request().await;
        assert_eq!(test_bed.platform.received().len(), 2, "expected no unnecessary request");
        forwarder.kill();
    });
}

#[test]
fn reactivated_endpoint_receives_requests() {
    run_test(async {
        let test_bed = TestBed::with_working_endpoint().await;
        let forwarder = test_bed.start_forwarder().await;
        test_bed.publish_list_update(endpoint_list(2, false, &[test_bed.endpoint_entry("Terminating")]));
        test_bed.publish_list_update(endpoint_list(3, false, &[test_bed.endpoint_entry("Ready")]));
        test_bed.platform.wait_for_request_count(1).await;
        assert_eq!(forwarder.submit("a", "note").await, 202);
        test_bed.endpoint.wait_for_request().await;
        test_bed.wait_until_all_finished().await;
        forwarder.kill();
    });
}
