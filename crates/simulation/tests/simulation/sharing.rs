//! Circuit breakers shared between forwarders.

use std::time::Duration;

use reeddock::{AttemptOutcome, EndpointId};
use reeddock_simulation::policies::sharing::{CircuitAdmission, CircuitExchange, MemberId};

const ENDPOINT: EndpointId = EndpointId(7);

fn at(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

#[test]
fn reported_failures_of_several_forwarders_open_circuit_for_all() {
    let mut exchange = CircuitExchange::new(at(1.0));
    let members: Vec<MemberId> = (0..4).map(|_| exchange.join()).collect();
    for member in &members[..3] {
        exchange.attempt_finished(ENDPOINT, at(10.0), *member, AttemptOutcome::NoConnection);
    }
    assert_eq!(
        exchange.admission(ENDPOINT, at(10.5), members[3]),
        CircuitAdmission::Admit,
        "the reports have not arrived yet"
    );
    assert_eq!(exchange.admission(ENDPOINT, at(11.0), members[3]), CircuitAdmission::Wait);
    assert_eq!(exchange.admission(ENDPOINT, at(15.0), members[3]), CircuitAdmission::HalfOpenTrial);
    // The member that starts the trial learns of it immediately, the others one second later.
    exchange.trial_started(ENDPOINT, at(15.0), members[3]);
    assert_eq!(exchange.admission(ENDPOINT, at(15.5), members[3]), CircuitAdmission::Wait);
    assert_eq!(exchange.admission(ENDPOINT, at(15.5), members[0]), CircuitAdmission::HalfOpenTrial);
    assert_eq!(exchange.admission(ENDPOINT, at(16.0), members[0]), CircuitAdmission::Wait);
    exchange.attempt_finished(ENDPOINT, at(16.0), members[3], AttemptOutcome::Completed);
    assert_eq!(exchange.admission(ENDPOINT, at(17.0), members[0]), CircuitAdmission::Admit);
}

#[test]
fn circuit_is_removed_after_it_no_longer_affects_admission() {
    let mut exchange = CircuitExchange::new(Duration::ZERO);
    let member = exchange.join();
    for second in 1..=3 {
        exchange.attempt_finished(ENDPOINT, at(f64::from(second)), member, AttemptOutcome::TimedOut);
    }
    assert_eq!(exchange.admission(ENDPOINT, at(4.0), member), CircuitAdmission::Wait);
    assert_eq!(exchange.admission(ENDPOINT, at(57.0), member), CircuitAdmission::HalfOpenTrial);
    assert_eq!(exchange.admission(ENDPOINT, at(59.0), member), CircuitAdmission::Admit);
}
