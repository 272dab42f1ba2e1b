//! What the exchange between forwarders tells each of them.

use std::time::Duration;

use reeddock::{AttemptOutcome, EndpointId};
use reeddock_simulation::policies::sharing::{CircuitAdmission, CircuitExchange};

const TARGET: EndpointId = EndpointId(7);

fn at(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

#[test]
fn failures_of_several_forwarders_restrain_a_target_for_all_once_the_news_are_there() {
    let mut exchange = CircuitExchange::new(at(1.0));
    let members: Vec<usize> = (0..4).map(|_| exchange.join()).collect();
    for member in &members[..3] {
        exchange.ended(TARGET, at(10.0), *member, AttemptOutcome::NoConnection);
    }
    assert_eq!(
        exchange.leave(TARGET, at(10.5), members[3]),
        CircuitAdmission::Send,
        "the news are on their way"
    );
    assert_eq!(exchange.leave(TARGET, at(11.0), members[3]), CircuitAdmission::Hold);
    assert_eq!(exchange.leave(TARGET, at(15.0), members[3]), CircuitAdmission::Trial);
    // Who sends the trial knows so at once; the others a second later.
    exchange.tried(TARGET, at(15.0), members[3]);
    assert_eq!(exchange.leave(TARGET, at(15.5), members[3]), CircuitAdmission::Hold);
    assert_eq!(exchange.leave(TARGET, at(15.5), members[0]), CircuitAdmission::Trial);
    assert_eq!(exchange.leave(TARGET, at(16.0), members[0]), CircuitAdmission::Hold);
    exchange.ended(TARGET, at(16.0), members[3], AttemptOutcome::Completed);
    assert_eq!(exchange.leave(TARGET, at(17.0), members[0]), CircuitAdmission::Send);
}

#[test]
fn a_record_is_dropped_once_it_can_no_longer_matter() {
    let mut exchange = CircuitExchange::new(Duration::ZERO);
    let member = exchange.join();
    for second in 1..=3 {
        exchange.ended(TARGET, at(f64::from(second)), member, AttemptOutcome::TimedOut);
    }
    assert_eq!(exchange.leave(TARGET, at(4.0), member), CircuitAdmission::Hold);
    assert_eq!(exchange.leave(TARGET, at(57.0), member), CircuitAdmission::Trial);
    assert_eq!(exchange.leave(TARGET, at(59.0), member), CircuitAdmission::Send);
}
