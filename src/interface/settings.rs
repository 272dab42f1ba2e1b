//! Settings of the policy, from which its parameters are derived once at start. Values that the operators do
//! not set are `None`.

use std::time::Duration;

use super::endpoints::ListedWeights;

/// Whether a message may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Repeated execution is harmless.
    Idempotent,
    /// The destination recognizes repeated messages by an idempotency key.
    WithKey {
        /// Time from the first attempt during which a repeated message is recognized.
        window: Duration,
        /// Endpoints that recognize the key.
        scope: IdempotencyKeyScope,
    },
    /// The message must not be sent again after an attempt that may have executed it.
    NonIdempotent,
}

/// Endpoints of a destination that share idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdempotencyKeyScope {
    /// All endpoints of the destination.
    Region,
    /// Endpoints of the destination in the same zone.
    Zone,
}

/// Decrease of a message's priority weight after its latency objective has passed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LateDecay {
    /// The weight decreases linearly from the latency objective to the deadline.
    #[default]
    Linear,
    /// The weight halves each time that another latency objective passes.
    Exponential,
}

/// Class of messages with the same delivery requirements.
#[derive(Default)]
pub struct MessageClass {
    /// Name of the class in submitted messages.
    pub name: String,
    /// Whether messages may be executed more than once; treated as non-idempotent if `None`.
    pub idempotency: Option<Idempotency>,
    /// Time from submission within which a delivery has the full priority weight; the whole time to the
    /// deadline if `None`.
    pub latency_objective: Option<Duration>,
    /// Time from submission to the deadline; 10 s if `None`.
    pub deadline: Option<Duration>,
    /// Weight of a delivery within the latency objective, relative to other classes; 1 if `None`.
    pub priority_weight: Option<f64>,
    /// Share of the priority weight that remains at the deadline, 0 to 1; 0 if `None`.
    pub late_weight: Option<f64>,
    /// Whether messages with the same ordering key are delivered in order.
    pub ordered: bool,
}

/// Kind of endpoints with the same circuit breaker scope and batch size.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointKind {
    /// Name of the kind in the endpoint list.
    pub name: String,
    /// Whether each endpoint has a circuit breaker of its own; otherwise the endpoints of a destination share
    /// one.
    pub circuit_per_endpoint: bool,
    /// Maximum number of messages in one request; 1 if `None`.
    pub max_batch: Option<u64>,
}

/// Message quota of a tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantQuota {
    /// Name of the tenant in submitted messages.
    pub tenant: String,
    /// Messages per second; unlimited if `None`.
    pub messages_per_second: Option<f64>,
}

/// Price of requests to the endpoints of a zone that have circuit breakers of their own.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneFee {
    /// Zone of the endpoints.
    pub zone: String,
    /// Price of one request, in the unit that the operators choose for all prices.
    pub fee: f64,
}

/// Settings of a forwarder's delivery policy.
#[derive(Default)]
pub struct Settings {
    /// Seed of the policy's random numbers; equal seeds give equal numbers.
    pub seed: u64,
    /// Number of forwarders in the fleet; 1 if `None`.
    pub forwarders: Option<u64>,
    /// Zone of this forwarder.
    pub zone: String,
    /// Message classes that clients may use.
    pub classes: Vec<MessageClass>,
    /// Endpoint kinds that the endpoint list may use.
    pub endpoint_kinds: Vec<EndpointKind>,
    /// Quotas of tenants; tenants that are not included have none.
    pub tenants: Vec<TenantQuota>,
    /// Share of the priority weight, 0 to 1, that a message over its tenant's quota has; 0 if `None`.
    pub over_quota_weight: Option<f64>,
    /// Decrease of the priority weight after the latency objective.
    pub late_decay: LateDecay,
    /// Maximum number of requests that this forwarder has in flight to all destinations together; 2^20 if
    /// `None`.
    pub max_in_flight: Option<u64>,
    /// Maximum number of messages without a final answer at this forwarder; 2^30 if `None`.
    pub max_pending_messages: Option<u64>,
    /// Maximum number of attempts per message; 2^20 if `None`.
    pub max_attempts: Option<u64>,
    /// Whether a message may have two attempts in flight at once.
    pub hedging_allowed: bool,
    /// Maximum Retry-After that clients honor; `None` if rejections carry no Retry-After.
    pub max_retry_after: Option<Duration>,
    /// Share of its capacity, 0 to 1, that a destination has directly after an outage; 0.2 if `None`.
    pub slow_start_floor: Option<f64>,
    /// Time from the end of an outage until a destination has its full capacity; 10 s if `None`.
    pub slow_start_duration: Option<Duration>,
    /// Load above which a destination fails during its slow start, as a multiple of its current capacity; 2
    /// if `None`.
    pub overload_capacity_multiple: Option<f64>,
    /// Time that a destination withstands a load above `overload_capacity_multiple` times its current
    /// capacity before it fails; 2 s if `None`.
    pub overload_window: Option<Duration>,
    /// Delay of the next message of an ordering key after an attempt with an unknown outcome; zero if `None`.
    pub ordering_hold_off: Option<Duration>,
    /// Maximum time between two polls of the endpoint list; `None` if discovery pushes the list.
    pub max_poll_interval: Option<Duration>,
    /// Meaning of the weights in the endpoint list.
    pub listed_weights: ListedWeights,
    /// Whether endpoints with a rate limit send load reports with their responses.
    pub responses_carry_load_reports: bool,
    /// Time after which an idle connection is closed; zero if `None`.
    pub connection_idle_timeout: Option<Duration>,
    /// Additional price of a request to another zone, in the unit of [`ZoneFee::fee`]; 0 if `None`.
    pub cross_zone_price: Option<f64>,
    /// Price of a new connection, in the unit of [`ZoneFee::fee`]; 0 if `None`.
    pub connection_price: Option<f64>,
    /// Prices of requests to endpoints with circuit breakers of their own, by zone.
    pub zone_fees: Vec<ZoneFee>,
}
