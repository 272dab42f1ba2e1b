//! Default settings of the tests, with their message classes and endpoint kinds.

use reeddock::*;

use super::{ms, ListedEndpoint, PolicyTest};

/// A message class whose messages may be executed more than once.
pub const IDEMPOTENT: &str = "idempotent";
/// A message class whose messages must not be executed twice.
pub const NON_IDEMPOTENT: &str = "non-idempotent";
/// A message class with idempotency keys that are valid for 5 s.
pub const WITH_KEY: &str = "with-key";
/// An idempotent message class whose messages are delivered in order for each ordering key.
pub const ORDERED: &str = "ordered";

/// An endpoint kind with one circuit for each destination.
pub const SHARED_CIRCUIT: &str = "shared-circuit";
/// An endpoint kind with a circuit for each endpoint.
pub const OWN_CIRCUIT: &str = "own-circuit";
/// An endpoint kind with one circuit for each destination and up to 4 messages in a request.
pub const BATCH_OF_4: &str = "batch-of-4";
/// An endpoint kind with one circuit for each destination and up to 40 messages in a request.
pub const BATCH_OF_40: &str = "batch-of-40";
/// An endpoint kind with a circuit for each endpoint and up to 10 messages in a request.
pub const OWN_CIRCUIT_BATCH_OF_10: &str = "own-circuit-batch-of-10";

/// Settings of one forwarder with at most eight requests in flight. Messages have a latency objective of 2 s
/// and a deadline of 20 s.
pub fn settings() -> Settings {
    Settings {
        seed: 7,
        forwarders: Some(1),
        classes: vec![
            class(IDEMPOTENT, Idempotency::Idempotent),
            class(NON_IDEMPOTENT, Idempotency::NonIdempotent),
            class(WITH_KEY, Idempotency::WithKey { window: ms(5000), scope: IdempotencyKeyScope::Region }),
            MessageClass { ordered: true, ..class(ORDERED, Idempotency::Idempotent) },
        ],
        endpoint_kinds: vec![
            kind(SHARED_CIRCUIT, false, 1),
            kind(OWN_CIRCUIT, true, 1),
            kind(BATCH_OF_4, false, 4),
            kind(BATCH_OF_40, false, 40),
            kind(OWN_CIRCUIT_BATCH_OF_10, true, 10),
        ],
        max_in_flight: Some(8),
        max_pending_messages: Some(50),
        max_attempts: Some(6),
        max_retry_after: Some(ms(3000)),
        ordering_hold_off: Some(ms(3000)),
        listed_weights: ListedWeights::ApproximateRates,
        ..Default::default()
    }
}

fn class(name: &str, idempotency: Idempotency) -> MessageClass {
    MessageClass {
        name: name.into(),
        idempotency: Some(idempotency),
        latency_objective: Some(ms(2000)),
        deadline: Some(ms(20_000)),
        ..Default::default()
    }
}

fn kind(name: &str, circuit_per_endpoint: bool, max_batch: u64) -> EndpointKind {
    EndpointKind { name: name.into(), circuit_per_endpoint, max_batch: Some(max_batch) }
}

/// Creates a policy that is one of 200 forwarders. Responses report the unused share of a rate limit, listed
/// rates are exact, and new connections have a price.
pub fn with_load_reports(endpoints: &[ListedEndpoint]) -> PolicyTest {
    let settings = Settings {
        forwarders: Some(200),
        listed_weights: ListedWeights::Rates,
        responses_carry_load_reports: true,
        connection_idle_timeout: Some(ms(15_000)),
        connection_price: Some(0.06),
        ..settings()
    };
    PolicyTest::new(settings, endpoints)
}
