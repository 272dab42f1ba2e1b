//! Connections to endpoints between requests: which are kept idle, closed or not reused.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Instant;

use reeddock::{EndpointId, EndpointState};
use reeddock_forwarder::request_sender::RequestSender;
use reeddock_protocol::AttemptResult;
use tokio::time::sleep;
use tower::Service;

use crate::support::*;

const UNAVAILABLE_AND_CLOSE: &str =
    "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";

/// Sends a message to the endpoint with this number, and returns the result of its attempt.
async fn send_to(request_sender: &mut RequestSender, endpoint: u32, server: &StubServer) -> AttemptResult {
    let mut request = request_to(server, "a");
    request.endpoint = EndpointId(endpoint);
    request_sender.call(request).await.unwrap().results[0].result
}

#[test]
fn idle_connection_is_closed_before_the_endpoint_closes_it() {
    run_test(async {
        let test_bed = TestBed::with_working_endpoint().await.with_endpoint_idle_timeout(ms(600));
        let forwarder = test_bed.start_forwarder().await;
        assert_eq!(forwarder.submit("a", "note").await, 202);
        test_bed.endpoint.wait_for_closed_connections(1).await;
        assert_eq!(forwarder.submit("b", "order").await, 202);
        let second = wait_for("the second request", || test_bed.endpoint.received().get(1).cloned()).await;
        assert_eq!(second.connection, 1);
        forwarder.kill();
    });
}

#[test]
fn connections_idle_as_long_as_broken_ones_are_not_reused() {
    run_test(async {
        let last_used = Mutex::new(BTreeMap::<usize, Instant>::new());
        let test_bed = TestBed::new(move |m| {
            // Acts like a middlebox that drops connections idle for 100 ms without notifying either side.
            let before = last_used.lock().unwrap().insert(m.connection, Instant::now());
            match before.is_some_and(|before| before.elapsed() > ms(100)) {
                true => ScriptedResponse::CloseConnection,
                false => ScriptedResponse::ok(),
            }
        })
        .await;
        let forwarder = test_bed.start_forwarder().await;
        for n in 0..10 {
            // The first request opens a connection, the next six reuse a dead one, and the last three carry
            // messages that must not be sent twice.
            let class = if n < 7 { "note" } else { "order" };
            assert_eq!(forwarder.submit(&format!("e{n}"), class).await, 202);
            test_bed.wait_until_all_finished().await;
            sleep(ms(200)).await;
        }
        assert_eq!(test_bed.notices(), "");
        assert_eq!(test_bed.endpoint.received().len(), 16, "expected six messages to be sent twice");
        forwarder.kill();
    });
}

#[test]
fn rejected_connection_stops_idle_connections_to_its_endpoint_kind() {
    run_test(async {
        let open = StubServer::start(|_| ScriptedResponse::ok()).await;
        let other = StubServer::start(|_| ScriptedResponse::ok()).await;
        let full = StubServer::start(|_| ScriptedResponse::SendAndClose(UNAVAILABLE_AND_CLOSE.into())).await;
        let mut request_sender = request_sender_with_long_connect_timeout();
        for (endpoint, kind) in [(1, "small"), (2, "small"), (3, "large")] {
            request_sender.connections().endpoint_listed(EndpointId(endpoint), kind, EndpointState::Active);
        }
        for _ in 0..2 {
            assert_eq!(
                (send_to(&mut request_sender, 1, &open).await, send_to(&mut request_sender, 3, &other).await),
                (AttemptResult::Completed, AttemptResult::Completed)
            );
            wait_for_settled_connection(&request_sender, EndpointId(1)).await;
            wait_for_settled_connection(&request_sender, EndpointId(3)).await;
        }
        assert!(
            open.received().iter().all(|m| m.connection == 0),
            "expected the connection to be kept before any rejection"
        );
        // The rejection also closes the idle connection to the other endpoint of the kind, which may count
        // against its limit.
        assert_eq!(
            send_to(&mut request_sender, 2, &full).await,
            AttemptResult::Rejected { retry_after: None }
        );
        open.wait_for_closed_connections(1).await;
        for n in 1..3 {
            assert_eq!(send_to(&mut request_sender, 1, &open).await, AttemptResult::Completed);
            open.wait_for_closed_connections(n + 1).await;
            assert_eq!(send_to(&mut request_sender, 3, &other).await, AttemptResult::Completed);
            wait_for_settled_connection(&request_sender, EndpointId(3)).await;
        }
        assert!(
            other.received().iter().all(|m| m.connection == 0),
            "expected connections to the other kind to be kept"
        );
    });
}

#[test]
fn rejection_on_a_reused_connection_does_not_stop_idle_connections_to_its_kind() {
    run_test(async {
        let leaving = StubServer::start(|_| ScriptedResponse::ok()).await;
        let open = StubServer::start(|_| ScriptedResponse::ok()).await;
        let mut request_sender = request_sender_with_long_connect_timeout();
        for endpoint in [1, 2] {
            request_sender.connections().endpoint_listed(
                EndpointId(endpoint),
                "small",
                EndpointState::Active,
            );
        }
        for (endpoint, server) in [(1, &leaving), (2, &open)] {
            assert_eq!(send_to(&mut request_sender, endpoint, server).await, AttemptResult::Completed);
        }
        wait_for_settled_connection(&request_sender, EndpointId(1)).await;
        wait_for_settled_connection(&request_sender, EndpointId(2)).await;
        leaving.set_script(|_| ScriptedResponse::SendAndClose(UNAVAILABLE_AND_CLOSE.into()));
        assert_eq!(
            send_to(&mut request_sender, 1, &leaving).await,
            AttemptResult::Rejected { retry_after: None }
        );
        assert_eq!(send_to(&mut request_sender, 2, &open).await, AttemptResult::Completed);
        assert!(open.received().iter().all(|m| m.connection == 0));
    });
}

#[test]
fn new_endpoint_at_a_known_address_gets_a_new_connection() {
    run_test(async {
        let test_bed = TestBed::with_working_endpoint().await;
        let forwarder = test_bed.start_forwarder().await;
        assert_eq!(forwarder.submit("a", "note").await, 202);
        test_bed.wait_until_all_finished().await;
        let address = test_bed.endpoint.address;
        // The old endpoint still serves its open connections.
        let successor = list_entry("u", address, 4, "Ready");
        let change = endpoint_list(2, false, &[test_bed.endpoint_entry("Terminating"), successor]);
        test_bed.publish_list_update(change);
        let for_successor = submission("b", "note", 9.0, "").replace("dest=3", "dest=4");
        test_bed.platform.wait_for_request_count(1).await;
        sleep(ms(200)).await;
        assert_eq!(forwarder.request(&for_successor).await.status(), 202);
        let second = wait_for("the second request", || test_bed.endpoint.received().get(1).cloned()).await;
        assert_eq!((second.id(), second.connection), ("b", 1));
        test_bed.wait_until_all_finished().await;
        test_bed.publish_list_update(endpoint_list(3, false, &[test_bed.endpoint_entry("Gone")]));
        // The idle connection of the old endpoint is closed.
        test_bed.endpoint.wait_for_closed_connections(1).await;
        forwarder.kill();
    });
}
