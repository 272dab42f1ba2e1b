//! The parameters of the policy, derived once from the settings. How they are derived is decided in
//! [`policy`](crate::policy).

use std::time::Duration;

use crate::interface::{Idempotency, LateDecay, ZoneFee};

/// The parameters of one class of messages.
pub(crate) struct ClassParameters {
    pub(crate) name: String,
    pub(crate) idempotency: Idempotency,
    /// Time from submission within which delivery earns the full weight.
    pub(crate) latency_objective: Duration,
    /// Time from submission to the deadline.
    pub(crate) deadline: Duration,
    /// Messages with the same ordering key are delivered in order.
    pub(crate) ordered: bool,
    pub(crate) priority_weight: f64,
    /// Share of the weight that is left at the deadline.
    pub(crate) late_weight: f64,
}

/// The parameters of one kind of endpoints.
pub(crate) struct EndpointKindParameters {
    pub(crate) name: String,
    /// Each endpoint has a circuit of its own.
    pub(crate) circuit_per_endpoint: bool,
    /// Most messages in one request.
    pub(crate) max_batch: usize,
}

/// The quota of one tenant.
pub(crate) struct TenantParameters {
    pub(crate) name: String,
    pub(crate) messages_per_second: f64,
}

/// What is derived from the settings at start. The settings themselves are not kept.
pub(crate) struct PolicyParameters {
    pub(crate) classes: Vec<ClassParameters>,
    pub(crate) tenants: Vec<TenantParameters>,
    /// The zone that this forwarder is in.
    pub(crate) zone: String,
    /// Forwarders in the fleet, 1 at least.
    pub(crate) forwarders: f64,
    /// Retries that an endpoint's budget allows before its first completion.
    pub(crate) initial_retry_tokens: f64,
    /// Forwarders outnumber the requests that one may have in flight: each sees little of most destinations.
    pub(crate) has_sparse_traffic: bool,
    /// Most requests in flight at once.
    pub(crate) max_in_flight: usize,
    /// Most messages without a final answer at once.
    pub(crate) max_pending_messages: usize,
    /// Most attempts of one message.
    pub(crate) max_attempts: u32,
    /// A message may have two attempts in flight.
    pub(crate) hedging_allowed: bool,
    /// The longest deadline of all classes.
    pub(crate) longest_deadline: Duration,
    /// Longest Retry-After that clients honour; absent if rejections may not carry one.
    pub(crate) max_retry_after: Option<Duration>,
    /// Only failures within this span count together.
    pub(crate) failure_window: Duration,
    /// How long a circuit stays open before a trial.
    pub(crate) recovery_delay: Duration,
    /// Share of its capacity that a destination has right after an outage.
    pub(crate) slow_start_floor: f64,
    /// How long a destination takes after an outage to regain its full capacity.
    pub(crate) slow_start_duration: Duration,
    /// A destination that is warming up fails if its load exceeds this multiple of the capacity that it has then.
    pub(crate) overload_multiple: f64,
    /// How long that overload has to last for the destination to fail.
    pub(crate) overload_window: Duration,
    /// How long an ordering key is held off after an attempt with an unknown end.
    pub(crate) ordering_hold_off: Duration,
    /// The endpoint list is polled, at least this often; absent if discovery pushes it.
    pub(crate) max_poll_interval: Option<Duration>,
    /// How many times as high as the true rate a listed rate may be; none where no rates are listed.
    pub(crate) listed_rate_margin: Option<f64>,
    /// Responses carry load reports where their endpoint has a limit.
    pub(crate) responses_carry_load_reports: bool,
    pub(crate) late_decay: LateDecay,
    /// Share of its weight that a message over its tenant's quota has.
    pub(crate) over_quota_weight: f64,
    /// How long an idle connection is kept open.
    pub(crate) connection_idle_timeout: Duration,
    /// Price points of a request that crosses zones.
    pub(crate) cross_zone_price: f64,
    /// Price points of a new connection.
    pub(crate) connection_price: f64,
    /// Prices of endpoints with circuits of their own, by zone.
    pub(crate) zone_fees: Vec<ZoneFee>,
}
