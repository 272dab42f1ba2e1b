//! The settings that a forwarder is started with. The policy derives its parameters from them once; an absent
//! value means that the operators' settings do not give it.

use std::time::Duration;

use super::endpoints::ListedWeights;

/// Whether a message may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Repeating it is harmless.
    Idempotent,
    /// The destination recognises a repeat by an idempotency key.
    WithKey {
        /// How long after the first attempt a repeat is recognised.
        window: Duration,
        /// Where it is recognised.
        scope: IdempotencyKeyScope,
    },
    /// It must not be repeated once an attempt may have executed it.
    NonIdempotent,
}

/// Which endpoints of a destination share their idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdempotencyKeyScope {
    /// All endpoints of the destination.
    Region,
    /// Endpoints of the destination in the same zone.
    Zone,
}

/// How a message loses priority weight once it is later than its latency objective.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LateDecay {
    /// Evenly from the latency objective to the deadline.
    #[default]
    Linear,
    /// It halves with each further latency objective that passes.
    Exponential,
}

/// A class of messages.
#[derive(Default)]
pub struct MessageClass {
    /// The name that clients submit messages under.
    pub name: String,
    /// Whether its messages may be repeated; if not given they may not.
    pub idempotency: Option<Idempotency>,
    /// Time from submission within which delivery earns the full weight.
    pub latency_objective: Option<Duration>,
    /// Time from submission to the deadline.
    pub deadline: Option<Duration>,
    /// Weight of a delivery within the objective, against other classes; 1 if not given.
    pub priority_weight: Option<f64>,
    /// Share of the weight that is left at the deadline, 0 to 1; 0 if not given.
    pub late_weight: Option<f64>,
    /// Messages with the same ordering key are delivered in order.
    pub ordered: bool,
}

/// A kind of endpoints.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointKind {
    /// The name that the endpoint list uses.
    pub name: String,
    /// Each endpoint has a circuit of its own; otherwise those of a destination share one.
    pub circuit_per_endpoint: bool,
    /// Most messages in one request; 1 if not given.
    pub max_batch: Option<u64>,
}

/// The quota of one tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantQuota {
    /// The name that clients submit messages under.
    pub tenant: String,
    /// Messages a second; without limit if not given.
    pub messages_per_second: Option<f64>,
}

/// The price of a request to an endpoint with a circuit of its own in one zone.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneFee {
    /// The endpoint's zone.
    pub zone: String,
    /// Price points of one request.
    pub fee: f64,
}

/// The settings of one forwarder.
#[derive(Default)]
pub struct Settings {
    /// Seeds the random numbers of the policy: the same seed draws the same numbers.
    pub seed: u64,
    /// Forwarders in the fleet.
    pub forwarders: Option<u64>,
    /// The zone that this forwarder is in.
    pub zone: String,
    /// The classes that messages may have.
    pub classes: Vec<MessageClass>,
    /// The kinds that endpoints may have.
    pub endpoint_kinds: Vec<EndpointKind>,
    /// Tenants with a quota.
    pub tenants: Vec<TenantQuota>,
    /// Share of its priority weight that a message over its tenant's quota has; 0 if not given.
    pub over_quota_weight: Option<f64>,
    /// How late messages lose priority weight.
    pub late_decay: LateDecay,
    /// Most requests in flight at once.
    pub max_in_flight: Option<u64>,
    /// Most messages without a final answer at once.
    pub max_pending_messages: Option<u64>,
    /// Most attempts of one message.
    pub max_attempts: Option<u64>,
    /// A message may have two attempts in flight at once.
    pub hedging_allowed: bool,
    /// Longest Retry-After that clients honour; absent if rejections may not carry one.
    pub max_retry_after: Option<Duration>,
    /// Share of its capacity, 0 to 1, that a destination has right after an outage.
    pub slow_start_floor: Option<f64>,
    /// How long a destination takes after an outage to regain its full capacity.
    pub slow_start_duration: Option<Duration>,
    /// A destination that is warming up fails if its load exceeds this multiple of the capacity that it has then.
    pub overload_multiple: Option<f64>,
    /// How long that overload has to last for the destination to fail.
    pub overload_window: Option<Duration>,
    /// How long an ordering key holds its next message off after an attempt with an unknown end.
    pub ordering_hold_off: Option<Duration>,
    /// The endpoint list is polled, at least this often; absent if discovery pushes it.
    pub max_poll_interval: Option<Duration>,
    /// What the weights in the endpoint list mean.
    pub listed_weights: ListedWeights,
    /// Responses carry load reports where their endpoint has a limit.
    pub responses_carry_load_reports: bool,
    /// How long an idle connection is kept open.
    pub connection_idle_timeout: Option<Duration>,
    /// Price points of a request that crosses zones.
    pub cross_zone_price: Option<f64>,
    /// Price points of a new connection.
    pub connection_price: Option<f64>,
    /// Prices of endpoints with circuits of their own, by zone.
    pub zone_fees: Vec<ZoneFee>,
}
