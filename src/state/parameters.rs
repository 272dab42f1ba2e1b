//! Parameters of the policy, which [`policy`](crate::policy) derives from the settings once at start.

use std::time::Duration;

use crate::interface::{Idempotency, LateDecay, ZoneFee};

pub(crate) struct ClassParameters {
    pub(crate) name: String,
    pub(crate) idempotency: Idempotency,
    /// Time from submission within which a delivery has the full priority weight.
    pub(crate) latency_objective: Duration,
    /// Time from submission to the deadline.
    pub(crate) deadline: Duration,
    /// Whether messages with the same ordering key are delivered in order.
    pub(crate) ordered: bool,
    pub(crate) priority_weight: f64,
    /// Share of the priority weight that remains at the deadline.
    pub(crate) late_weight: f64,
}

pub(crate) struct EndpointKindParameters {
    pub(crate) name: String,
    /// Whether each endpoint has a circuit breaker of its own.
    pub(crate) circuit_per_endpoint: bool,
    /// Maximum number of messages in one request.
    pub(crate) max_batch: usize,
}

pub(crate) struct TenantParameters {
    pub(crate) name: String,
    pub(crate) messages_per_second: f64,
}

/// Parameters that are derived from the settings at start. The settings themselves are not kept.
pub(crate) struct PolicyParameters {
    pub(crate) classes: Vec<ClassParameters>,
    pub(crate) tenants: Vec<TenantParameters>,
    /// Zone of this forwarder.
    pub(crate) zone: String,
    /// Number of forwarders in the fleet, at least 1.
    pub(crate) forwarders: f64,
    /// Tokens in an endpoint's retry budget before its first completion.
    pub(crate) initial_retry_tokens: f64,
    /// Whether each forwarder sends only a small part of the traffic of most destinations, because forwarders
    /// outnumber the requests that each may have in flight.
    pub(crate) has_sparse_traffic: bool,
    /// Maximum number of requests in flight to all destinations together.
    pub(crate) max_in_flight: usize,
    /// Maximum number of messages without a final answer.
    pub(crate) max_pending_messages: usize,
    /// Maximum number of attempts per message.
    pub(crate) max_attempts: u32,
    /// Whether a message may have two attempts in flight at once.
    pub(crate) hedging_allowed: bool,
    /// Longest time from submission to the deadline among all classes.
    pub(crate) longest_deadline: Duration,
    /// Maximum Retry-After that clients honor; `None` if rejections carry no Retry-After.
    pub(crate) max_retry_after: Option<Duration>,
    /// Length of the period in which failures are counted for the opening of a circuit.
    pub(crate) failure_window: Duration,
    /// Time from the opening of a circuit to its half-open trial.
    pub(crate) recovery_delay: Duration,
    /// Share of its capacity that a destination has directly after an outage.
    pub(crate) slow_start_floor: f64,
    /// Time from the end of an outage until a destination has its full capacity.
    pub(crate) slow_start_duration: Duration,
    /// Load above which a destination fails during its slow start, as a multiple of its current capacity.
    pub(crate) overload_capacity_multiple: f64,
    /// Time that a destination withstands a load above `overload_capacity_multiple` times its current
    /// capacity before it fails.
    pub(crate) overload_window: Duration,
    /// Delay of the next message of an ordering key after an attempt with an unknown outcome.
    pub(crate) ordering_hold_off: Duration,
    /// Maximum time between two polls of the endpoint list; `None` if discovery pushes the list.
    pub(crate) max_poll_interval: Option<Duration>,
    /// Maximum ratio of a listed rate to the true rate; `None` if no rates are listed.
    pub(crate) listed_rate_margin: Option<f64>,
    /// Whether endpoints with a rate limit send load reports with their responses.
    pub(crate) responses_carry_load_reports: bool,
    pub(crate) late_decay: LateDecay,
    /// Share of the priority weight that a message over its tenant's quota has.
    pub(crate) over_quota_weight: f64,
    /// Time after which an idle connection is closed.
    pub(crate) connection_idle_timeout: Duration,
    /// Additional price of a request to another zone, in the unit of [`ZoneFee::fee`].
    pub(crate) cross_zone_price: f64,
    /// Price of a new connection, in the unit of [`ZoneFee::fee`].
    pub(crate) connection_price: f64,
    /// Prices of requests to endpoints with circuit breakers of their own, by zone.
    pub(crate) zone_fees: Vec<ZoneFee>,
}
