//! Forwarders that are killed or shut down with pending messages and restarted on the same state folder.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use reeddock::Idempotency;
use reeddock_wal::{AcceptedMessage, Record};
use tokio::net::TcpListener;
use tokio::time::sleep;

use crate::support::*;

#[test]
fn attempt_in_flight_at_a_kill_is_retried_only_if_its_message_is_idempotent() {
    run_test(async {
        let test_bed = TestBed::new(|_| ScriptedResponse::NeverRespond).await;
        let forwarder = test_bed.start_forwarder().await;
        assert_eq!(forwarder.submit("non-idempotent", "order").await, 202);
        assert_eq!(forwarder.submit("repeatable", "note").await, 202);
        test_bed.endpoint.wait_for_request_count(2).await;
        forwarder.kill();
        test_bed.endpoint.set_script(|_| ScriptedResponse::ok());
        let forwarder = test_bed.start_forwarder().await;
        test_bed.wait_for_notice(r#"{"id":"non-idempotent","status":"undeliverable"}"#).await;
        wait_for("the retry of the idempotent message", || test_bed.endpoint.received().get(2).cloned())
            .await;
        sleep(ms(200)).await;
        assert_eq!(test_bed.endpoint.count_single_requests("non-idempotent"), 1);
        assert!(!test_bed.notices().contains("repeatable"));
        forwarder.kill();
    });
}

#[test]
fn non_idempotent_message_without_an_attempt_is_delivered_after_a_kill() {
    run_test(async {
        let test_bed = TestBed::with_working_endpoint().await;
        let forwarder = test_bed.start_forwarder_with_list(empty_list()).await;
        assert_eq!(forwarder.submit("a", "order").await, 202);
        forwarder.kill();
        let forwarder = test_bed.start_forwarder().await;
        let request = test_bed.endpoint.wait_for_request().await;
        assert_eq!((request.id(), request.body.as_str()), ("a", "body of it"));
        forwarder.kill();
    });
}

/// The forwarders of a mass restart, each with its own test bed. All send to the same endpoint.
struct Fleet {
    test_beds: Vec<TestBed>,
    forwarders: Vec<RunningForwarder>,
    cached_list: String,
}

impl Fleet {
    async fn start(size: usize, endpoint: &StubServer) -> Fleet {
        let entry = list_entry("t", endpoint.address, 3, "Ready").replace("many", "each alone");
        let cached_list = endpoint_list(1, true, &[entry]);
        let mut fleet = Fleet { test_beds: Vec::new(), forwarders: Vec::new(), cached_list };
        for _ in 0..size {
            fleet.test_beds.push(TestBed::new(|_| ScriptedResponse::CloseConnection).await);
        }
        fleet.start_all().await;
        fleet
    }

    async fn start_all(&mut self) {
        for test_bed in &self.test_beds {
            self.forwarders.push(test_bed.start_forwarder_with_list(self.cached_list.clone()).await);
        }
    }

    /// Submits messages of all classes to each forwarder. Returns each id with the number of its forwarder.
    async fn submit_to_each(&self, messages: usize) -> Vec<(String, usize)> {
        let mut submitted = Vec::new();
        for n in 0..messages {
            for (number, forwarder) in self.forwarders.iter().enumerate() {
                let class = ["order", "note", "mark"][(n + number) % 3];
                let id = format!("{class}-{n}-{number}");
                assert_eq!(forwarder.submit(&id, class).await, 202);
                submitted.push((id, number));
            }
        }
        submitted
    }

    /// Kills the first `killed` forwarders, asks the others to shut down, and waits until all have ended.
    fn stop_all(&mut self, killed: usize) {
        for (number, forwarder) in self.forwarders.iter_mut().enumerate() {
            match number < killed {
                true => forwarder.request_kill(),
                false => forwarder.request_shutdown(),
            }
        }
        self.forwarders.drain(..).for_each(RunningForwarder::join);
    }
}

/// Guards against losing or repeating messages when seven of ten forwarders are killed and three shut down,
/// each with requests in flight and messages queued.
#[test]
fn mass_restart_finishes_all_messages_and_repeats_no_non_idempotent_message() {
    run_test(async {
        let endpoint = StubServer::start(|_| ScriptedResponse::NeverRespond).await;
        let mut fleet = Fleet::start(10, &endpoint).await;
        let submitted = fleet.submit_to_each(12).await;
        wait_for("requests of all forwarders", || (endpoint.received().len() >= 20).then_some(())).await;
        fleet.stop_all(7);
        let before = endpoint.received().len();
        endpoint.set_script(|_| ScriptedResponse::ok());
        fleet.start_all().await;
        for test_bed in &fleet.test_beds {
            test_bed.wait_until_all_finished().await;
        }
        let received = endpoint.received();
        for (id, number) in &submitted {
            let runs = received.iter().filter(|request| request.id() == id).count();
            assert!(runs <= 1 || !id.starts_with("order"), "{id} was sent {runs} times");
            let delivered = received[before..].iter().any(|request| request.id() == id);
            let notified = fleet.test_beds[*number].notices().contains(id.as_str());
            assert!(delivered || notified, "{id} was neither delivered nor reported");
        }
        let in_flight = received[..before].iter().any(|request| request.id().starts_with("order"));
        assert!(in_flight, "expected non-idempotent messages in flight");
        fleet.forwarders.into_iter().for_each(RunningForwarder::kill);
    });
}

#[test]
fn changed_settings_apply_to_pending_messages_after_a_restart() {
    run_test(async {
        let mut test_bed = TestBed::new(|_| ScriptedResponse::NeverRespond).await;
        let forwarder = test_bed.start_forwarder().await;
        // The attempt of this message is in flight at the kill, and the settings at that time allow a retry.
        assert_eq!(forwarder.submit("in-flight", "note").await, 202);
        test_bed.endpoint.wait_for_request().await;
        forwarder.kill();
        let before = test_bed.endpoint.received().len();
        let forwarder = test_bed.start_forwarder_with_list(empty_list()).await;
        for (id, class) in [("untried", "note"), ("unknown", "order")] {
            assert_eq!(forwarder.submit(id, class).await, 202);
        }
        forwarder.kill();
        test_bed.set_classes(&[("mark", Idempotency::Idempotent), ("note", Idempotency::NonIdempotent)]);
        test_bed.endpoint.set_script(|_| ScriptedResponse::ok());
        let forwarder = test_bed.start_forwarder().await;
        test_bed.wait_until_all_finished().await;
        // "in-flight" was possibly executed and its class is non-idempotent now. The class of "unknown" is no
        // longer configured.
        for id in ["in-flight", "unknown"] {
            let notice = format!(r#"{{"id":"{id}","status":"undeliverable"}}"#);
            assert!(test_bed.notices().contains(&notice), "expected a notice about {id}");
        }
        assert_eq!(test_bed.endpoint.received_ids()[before..], ["untried"]);
        forwarder.kill();
    });
}

/// The state of a message's first attempt in the write-ahead log.
#[derive(Clone, Copy, PartialEq)]
enum FirstAttempt {
    None,
    ProvenNotExecuted,
    PossiblyExecuted,
}

/// Returns the records of a message that an earlier process accepted.
fn records_of(id: &str, class: &str, first_attempt: FirstAttempt) -> Vec<Record> {
    let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    let micros = |time: Duration| time.as_micros() as u64;
    let mut records = vec![Record::Accepted(AcceptedMessage {
        id: id.into(),
        class: class.into(),
        tenant: None,
        ordering_key: None,
        destination: 3,
        deadline_unix_us: micros(unix_time + ms(15_000)),
        body: "x".into(),
        idempotency_key: None,
    })];
    if first_attempt != FirstAttempt::None {
        let started_at_unix_us = micros(unix_time - ms(500));
        records.push(Record::AttemptStarted {
            id: id.into(),
            number: 0,
            endpoint: "t".into(),
            started_at_unix_us,
        });
    }
    if first_attempt == FirstAttempt::ProvenNotExecuted {
        records.push(Record::AttemptFinished { id: id.into(), number: 0, proves_not_executed: true });
    }
    records
}

/// Returns the ids and records of a message for each class and state of the first attempt.
fn messages_of_each_kind() -> (Vec<String>, Vec<Record>) {
    let first_attempts = [
        ("untried", FirstAttempt::None),
        ("tried", FirstAttempt::ProvenNotExecuted),
        ("unsure", FirstAttempt::PossiblyExecuted),
    ];
    let (mut ids, mut records) = (Vec::new(), Vec::new());
    for class in ["note", "order", "mark"] {
        for (name, first_attempt) in first_attempts {
            let id = format!("{class}-{name}");
            records.extend(records_of(&id, class, first_attempt));
            ids.push(id);
        }
    }
    (ids, records)
}

/// Accepts every message of a batch or a single message.
fn accept_each(request: &HttpMessage) -> ScriptedResponse {
    let ids = request.body.lines().filter_map(|line| line.strip_suffix(" - 1"));
    ScriptedResponse::ok_with_body(&ids.map(|id| format!("{id} accepted\r\n")).collect::<String>())
}

#[test]
fn restart_with_a_stale_list_delivers_all_but_possibly_executed_non_idempotent_messages() {
    run_test(async {
        let test_bed = TestBed::new(accept_each).await;
        let unused = TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
        let (ids, records) = messages_of_each_kind();
        test_bed.write_records(&records);
        // In the list at the start, the endpoint has an address without a listener.
        let stale = endpoint_list(1, true, &[list_entry("t", unused, 3, "Ready")]);
        let forwarder = test_bed.start_forwarder_with_list(stale).await;
        test_bed.publish_list_update(endpoint_list(2, false, &[test_bed.endpoint_entry("Ready")]));
        test_bed.wait_until_all_finished().await;
        let received = test_bed.endpoint.received();
        let requests: Vec<String> = received.iter().map(|m| m.id().to_owned() + &m.body).collect();
        for id in &ids {
            let sent = requests.iter().any(|request| request.contains(id.as_str()));
            assert_eq!(
                sent,
                id != "order-unsure",
                "expected every message except order-unsure to be sent, checked {id}"
            );
            assert_eq!(
                test_bed.notices().contains(id.as_str()),
                id == "order-unsure",
                "expected a notice about order-unsure only, checked {id}"
            );
        }
        forwarder.kill();
    });
}
