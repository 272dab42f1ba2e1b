//! Endpoint lists that discovery has not confirmed yet, while the address of an endpoint has passed to an
//! endpoint of another destination.

use tokio::net::TcpListener;

use crate::support::*;

/// A destination that none of the submitted messages is for.
const OTHER_DESTINATION: u64 = 7;
/// The end of the ids of messages to [`OTHER_DESTINATION`].
const TO_OTHER: &str = "to-other";

/// An endpoint whose address belongs to [`OTHER_DESTINATION`] by now, and the endpoint that replaces it.
struct Replacement {
    /// The test bed, whose endpoint is the one at the address that has passed on.
    test_bed: TestBed,
    new_endpoint: StubServer,
}

impl Replacement {
    async fn new() -> Replacement {
        let test_bed = TestBed::with_working_endpoint().await;
        let new_endpoint = StubServer::start(|_| ScriptedResponse::ok()).await;
        Replacement { test_bed, new_endpoint }
    }

    /// Starts a discovery service, and a forwarder that watches it and has cached the former list.
    async fn start_watching(&self) -> (ManualDiscovery, ManualWatch, RunningForwarder) {
        let discovery = ManualDiscovery::start_for(&self.test_bed).await;
        let forwarder = self.test_bed.start_forwarder_with_list(self.former_list()).await;
        let watch = discovery.next_watch().await;
        (discovery, watch, forwarder)
    }

    /// Returns the list that has the endpoint at its former address, as of generation 1.
    fn former_list(&self) -> String {
        endpoint_list(1, true, &[self.test_bed.endpoint_entry("Ready")])
    }

    /// Returns the entries of the endpoint that took over the address, and of the replacement. Neither accepts
    /// batches, so that each request has the id of its message.
    fn new_entries(&self) -> [String; 2] {
        let former_address = self.test_bed.endpoint.address;
        let other = list_entry("other", former_address, OTHER_DESTINATION, "Ready");
        let new = list_entry("new", self.new_endpoint.address, 3, "Ready");
        [other, new].map(|entry| entry.replace("many", "without batches"))
    }

    /// Returns the changes after the former list.
    fn changes(&self) -> String {
        let [other, new] = self.new_entries();
        endpoint_list(2, false, &[self.test_bed.endpoint_entry("Gone"), other, new])
    }

    /// Waits until the replacement receives a message, and checks that the former address receives nothing but
    /// messages to the other destination.
    async fn wait_for_message(&self, id: &str) {
        wait_for(&format!("message {id:?} at the new endpoint"), || {
            let mut misdirected = self.test_bed.endpoint.received_ids();
            misdirected.retain(|id| !id.ends_with(TO_OTHER));
            assert!(misdirected.is_empty(), "sent to another destination's endpoint: {misdirected:?}");
            self.new_endpoint.received_ids().contains(&id.to_owned()).then_some(())
        })
        .await;
    }
}

/// Restarts a forwarder with the list that it last had, and with one message pending. Discovery answers only
/// after a second message was submitted.
async fn check_restart_with_a_stale_list(stop: impl FnOnce(RunningForwarder)) {
    let replacement = Replacement::new().await;
    let test_bed = &replacement.test_bed;
    let discovery = ManualDiscovery::start_for(test_bed).await;
    let forwarder = test_bed.start_forwarder_with_list(empty_list()).await;
    assert_eq!(forwarder.submit("owed", "order").await, 202);
    stop(forwarder);
    let _former_watch = discovery.next_watch().await;
    let forwarder = test_bed.start_forwarder_with_list(replacement.former_list()).await;
    let mut watch = discovery.next_watch().await;
    assert_eq!(forwarder.submit("submitted", "order").await, 202);
    watch.write_line(&replacement.changes()).await;
    replacement.wait_for_message("owed").await;
    replacement.wait_for_message("submitted").await;
    forwarder.kill();
}

/// Guards against sending a message to another destination after a crash: the cached list may name an address
/// that was assigned to another endpoint while the forwarder was down.
#[test]
fn killed_forwarder_sends_nothing_by_a_cached_list_before_discovery_answers() {
    run_test(check_restart_with_a_stale_list(RunningForwarder::kill));
}

/// Guards against the same after a planned restart.
#[test]
fn restarted_forwarder_sends_nothing_by_a_cached_list_before_discovery_answers() {
    run_test(check_restart_with_a_stale_list(|mut forwarder| {
        forwarder.request_shutdown();
        forwarder.join();
    }));
}

/// Submits a message while discovery has moved and the new discovery has not answered yet.
async fn check_nothing_is_sent_before_new_discovery_answers(
    replacement: &Replacement,
    forwarder: &RunningForwarder,
) {
    let discovery = ManualDiscovery::start_for(&replacement.test_bed).await;
    let mut watch = discovery.next_watch().await;
    assert_eq!(forwarder.submit("submitted", "order").await, 202);
    watch.write_line(&replacement.changes()).await;
    replacement.wait_for_message("submitted").await;
}

/// Guards against sending by the previous list between a reload of the configuration, which moves discovery,
/// and the first answer of the new discovery.
#[test]
fn nothing_is_sent_between_a_move_of_discovery_and_its_answer() {
    run_test(async {
        let replacement = Replacement::new().await;
        let (_former, mut former_watch, forwarder) = replacement.start_watching().await;
        former_watch.write_line("").await;
        check_nothing_is_sent_before_new_discovery_answers(&replacement, &forwarder).await;
        forwarder.kill();
    });
}

/// Guards against the same where the former discovery has named the endpoint in a full list that it did not
/// finish.
#[test]
fn nothing_is_sent_by_an_unfinished_list_after_a_move_of_discovery() {
    run_test(async {
        let replacement = Replacement::new().await;
        let (_former, mut former_watch, forwarder) = replacement.start_watching().await;
        let entry = replacement.test_bed.endpoint_entry("Ready");
        let unused = list_entry("unused", "127.0.0.1:9".parse().unwrap(), OTHER_DESTINATION, "Ready");
        let unfinished = format!(r#"{{"generation":2,"reset":true,"instances":[{entry},{unused}"#);
        former_watch.write(&unfinished).await;
        // The forwarder has read this once messages for the other destination are accepted.
        submit_to_other_destination(&forwarder).await;
        check_nothing_is_sent_before_new_discovery_answers(&replacement, &forwarder).await;
        forwarder.kill();
    });
}

/// Guards against sending to an endpoint that an incomplete full list does not name, while the part received
/// so far gives its address to another destination.
#[test]
fn endpoint_that_an_incomplete_full_list_has_not_named_receives_nothing() {
    run_test(async {
        let replacement = Replacement::new().await;
        let (_discovery, mut watch, forwarder) = replacement.start_watching().await;
        watch.write_line("").await;
        let [other, new] = replacement.new_entries();
        watch.write(&format!("{{\"generation\":2,\"reset\":true,\"instances\":[{other}")).await;
        // The forwarder has read the first part of the list once messages for its destination are accepted.
        submit_to_other_destination(&forwarder).await;
        assert_eq!(forwarder.submit("submitted", "order").await, 202);
        watch.write(&format!(",{new}]}}\n")).await;
        replacement.wait_for_message("submitted").await;
        forwarder.kill();
    });
}

/// Guards against a change that is missed when a watch falls silent: after the watch is opened again, no
/// message is sent by the list from before.
#[test]
fn nothing_is_sent_to_a_former_address_after_a_silent_watch_is_reopened() {
    run_test(async {
        let replacement = Replacement::new().await;
        let (discovery, mut silent_watch, forwarder) = replacement.start_watching().await;
        silent_watch.write_line("").await;
        let mut watch = discovery.next_watch().await;
        assert_eq!(watch.after, 1, "expected the changes after the list from before the silence");
        watch.write_line(&replacement.changes()).await;
        submit_to_other_destination(&forwarder).await;
        assert_eq!(forwarder.submit("submitted", "order").await, 202);
        replacement.wait_for_message("submitted").await;
        forwarder.kill();
    });
}

/// Submits messages to the other destination until one is accepted, which shows that its list entry is applied.
async fn submit_to_other_destination(forwarder: &RunningForwarder) {
    let to_other = submission(TO_OTHER, "note", 15.0, "x").replace("dest=3", "dest=7");
    for n in 0.. {
        let submission = to_other.replace(TO_OTHER, &format!("{n}-{TO_OTHER}"));
        if forwarder.request(&submission).await.status() == 202 {
            return;
        }
        assert!(n < 10_000, "expected the list to be applied");
    }
}

/// Guards against an outage of deliveries: a cached list is used although discovery does not answer, or
/// refuses connections.
#[test]
fn messages_are_delivered_by_a_cached_list_while_discovery_is_unavailable() {
    run_test(async {
        let test_bed = TestBed::with_working_endpoint().await;
        let silent = ManualDiscovery::start_for(&test_bed).await;
        let forwarder = test_bed.start_forwarder().await;
        let _watch = silent.next_watch().await;
        assert_eq!(forwarder.submit("unanswered", "order").await, 202);
        test_bed.endpoint.wait_for_message("unanswered").await;
        let unused = TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
        test_bed.move_platform(unused);
        assert_eq!(forwarder.submit("refused", "order").await, 202);
        test_bed.endpoint.wait_for_message("refused").await;
        forwarder.kill();
        let forwarder = test_bed.start_forwarder().await;
        assert_eq!(forwarder.submit("refused-at-start", "order").await, 202);
        test_bed.endpoint.wait_for_message("refused-at-start").await;
        forwarder.kill();
    });
}
