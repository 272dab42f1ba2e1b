//! A change of the platform's address, for the watch on the endpoint list and for notices.

use crate::support::*;

#[test]
fn watch_and_notices_use_the_new_platform_address_and_no_notice_is_lost() {
    run_test(async {
        let test_bed = TestBed::new(|_| ScriptedResponse::CloseConnection).await;
        // The old platform acknowledges no notice and sends no list update.
        test_bed.platform.set_script(|m| match m.start_line.contains("finals") {
            true => ScriptedResponse::NeverRespond,
            false => ScriptedResponse::StreamListUpdates,
        });
        let cached_list = endpoint_list(5, true, &[test_bed.endpoint_entry("Ready")]);
        let forwarder = test_bed.start_forwarder_with_list(cached_list).await;
        assert_eq!(forwarder.submit("a", "order").await, 202);
        test_bed.wait_for_notice("\"a\"").await;
        let new_platform = StubServer::start(platform_script).await;
        test_bed.move_platform(new_platform.address);
        let watch = |m: &HttpMessage| m.start_line.contains("index=5");
        let watched = || new_platform.received().iter().any(watch).then_some(());
        wait_for("a watch for changes after the applied list", watched).await;
        wait_for("the notice", || new_platform.notices().contains("\"a\"").then_some(())).await;
        let new_endpoint = StubServer::start(|_| ScriptedResponse::ok()).await;
        let moved = list_entry("t", new_endpoint.address, 3, "Ready");
        new_platform.publish_list_update(endpoint_list(6, false, &[moved]));
        assert_eq!(forwarder.submit("b", "note").await, 202);
        new_endpoint.wait_for_request().await;
        test_bed.wait_until_all_finished().await;
        forwarder.kill();
    });
}
