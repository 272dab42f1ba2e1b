//! Derives the parameters of the policy from the settings.

use std::time::Duration;

use super::pacing::APPROXIMATE_RATE_MARGIN;
use super::retry_budget::initial_retry_tokens;
use crate::interface::{EndpointKind, Idempotency, ListedWeights, MessageClass, Settings, TenantQuota};
use crate::state::{ClassParameters, EndpointKindParameters, PolicyParameters, TenantParameters};

/// Deadline of a class without one in the settings.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(10);
/// Latency objective that is assumed if the settings define no message class.
const DEFAULT_OBJECTIVE: Duration = Duration::from_secs(2);
/// Share of its capacity that a destination has directly after an outage, unless the settings define the
/// share.
const DEFAULT_SLOW_START_FLOOR: f64 = 0.2;
/// Minimum slow start floor; prevents a slow start budget of zero.
const MIN_SLOW_START_FLOOR: f64 = 0.01;
/// Time from the end of an outage to full capacity, unless the settings define the time.
const DEFAULT_SLOW_START_DURATION: Duration = Duration::from_secs(10);
/// Load above which a destination fails during its slow start, as a multiple of its current capacity, unless
/// the settings define the multiple.
const DEFAULT_OVERLOAD_CAPACITY_MULTIPLE: f64 = 2.0;
/// Minimum of the load above which a destination fails, as a multiple of its current capacity; prevents a
/// slow start budget of zero.
const MIN_OVERLOAD_CAPACITY_MULTIPLE: f64 = 0.1;
/// Time that a destination withstands an overload before it fails, unless the settings define the time.
const DEFAULT_OVERLOAD_WINDOW: Duration = Duration::from_secs(2);
/// Minimum time from the opening of a circuit to its half-open trial, for classes with a very short latency
/// objective.
const MIN_RECOVERY_DELAY: Duration = Duration::from_millis(50);
/// Length of the period in which failures of a circuit are counted, as a multiple of the time from its
/// opening to its half-open trial.
const FAILURE_WINDOW_RECOVERY_DELAYS: u32 = 10;
/// Greatest effective value of the setting `max_in_flight`; greater values are reduced to this limit.
const MAX_REQUESTS_IN_FLIGHT: u64 = 1 << 20;
/// Greatest effective value of the setting `max_pending_messages`; greater values are reduced to this limit.
const MAX_PENDING_MESSAGES: u64 = 1 << 30;
/// Greatest effective value of the setting `max_attempts`; greater values are reduced to this limit.
const MAX_ATTEMPTS: u64 = 1 << 20;
/// Greatest effective value of the setting `max_batch`; greater values are reduced to this limit.
const MAX_BATCH: u64 = 1000;

impl From<Settings> for PolicyParameters {
    fn from(settings: Settings) -> PolicyParameters {
        let classes: Vec<_> = settings.classes.into_iter().map(ClassParameters::from).collect();
        let shortest_objective =
            classes.iter().map(|c| c.latency_objective).min().unwrap_or(DEFAULT_OBJECTIVE);
        // After a trial that succeeds within half the shortest objective, a queued message can still meet its
        // objective.
        let recovery_delay = (shortest_objective / 2).max(MIN_RECOVERY_DELAY);
        let forwarders = settings.forwarders.unwrap_or(1);
        let max_in_flight = settings.max_in_flight.unwrap_or(u64::MAX);
        PolicyParameters {
            longest_deadline: classes.iter().map(|c| c.deadline).max().unwrap_or_default(),
            classes,
            tenants: settings.tenants.into_iter().map(TenantParameters::from).collect(),
            zone: settings.zone,
            forwarders: forwarders.max(1) as f64,
            initial_retry_tokens: initial_retry_tokens(forwarders.max(1) as f64),
            has_sparse_traffic: forwarders > max_in_flight,
            max_in_flight: max_in_flight.min(MAX_REQUESTS_IN_FLIGHT) as usize,
            max_pending_messages: settings
                .max_pending_messages
                .unwrap_or(u64::MAX)
                .clamp(2, MAX_PENDING_MESSAGES) as usize,
            hedging_allowed: settings.hedging_allowed,
            max_attempts: settings.max_attempts.unwrap_or(u64::MAX).min(MAX_ATTEMPTS) as u32,
            max_retry_after: settings.max_retry_after,
            failure_window: recovery_delay * FAILURE_WINDOW_RECOVERY_DELAYS,
            recovery_delay,
            slow_start_floor: non_negative_or(settings.slow_start_floor, DEFAULT_SLOW_START_FLOOR)
                .clamp(MIN_SLOW_START_FLOOR, 1.0),
            slow_start_duration: settings.slow_start_duration.unwrap_or(DEFAULT_SLOW_START_DURATION),
            overload_capacity_multiple: non_negative_or(
                settings.overload_capacity_multiple,
                DEFAULT_OVERLOAD_CAPACITY_MULTIPLE,
            )
            .max(MIN_OVERLOAD_CAPACITY_MULTIPLE),
            overload_window: settings.overload_window.unwrap_or(DEFAULT_OVERLOAD_WINDOW),
            ordering_hold_off: settings.ordering_hold_off.unwrap_or_default(),
            max_poll_interval: settings.max_poll_interval,
            listed_rate_margin: match settings.listed_weights {
                ListedWeights::Unspecified => None,
                ListedWeights::ApproximateRates => Some(APPROXIMATE_RATE_MARGIN),
                ListedWeights::Rates => Some(1.0),
            },
            responses_carry_load_reports: settings.responses_carry_load_reports,
            late_decay: settings.late_decay,
            over_quota_weight: non_negative_or(settings.over_quota_weight, 0.0).min(1.0),
            connection_idle_timeout: settings.connection_idle_timeout.unwrap_or_default(),
            cross_zone_price: non_negative_or(settings.cross_zone_price, 0.0),
            connection_price: non_negative_or(settings.connection_price, 0.0),
            zone_fees: settings.zone_fees,
        }
    }
}

impl From<MessageClass> for ClassParameters {
    fn from(class: MessageClass) -> ClassParameters {
        let deadline = class.deadline.unwrap_or(DEFAULT_DEADLINE);
        ClassParameters {
            name: class.name,
            // Without a setting, a class is assumed not to allow repeats.
            idempotency: class.idempotency.unwrap_or(Idempotency::NonIdempotent),
            latency_objective: class.latency_objective.unwrap_or(deadline).min(deadline),
            deadline,
            ordered: class.ordered,
            priority_weight: non_negative_or(class.priority_weight, 1.0),
            late_weight: non_negative_or(class.late_weight, 0.0).min(1.0),
        }
    }
}

impl From<EndpointKind> for EndpointKindParameters {
    fn from(kind: EndpointKind) -> EndpointKindParameters {
        EndpointKindParameters {
            name: kind.name,
            circuit_per_endpoint: kind.circuit_per_endpoint,
            max_batch: kind.max_batch.unwrap_or(1).clamp(1, MAX_BATCH) as usize,
        }
    }
}

impl From<TenantQuota> for TenantParameters {
    fn from(tenant: TenantQuota) -> TenantParameters {
        TenantParameters {
            name: tenant.tenant,
            messages_per_second: non_negative_or(tenant.messages_per_second, f64::MAX),
        }
    }
}

/// Returns a value of the settings if it is finite and not negative, and the default otherwise.
fn non_negative_or(value: Option<f64>, default: f64) -> f64 {
    value.filter(|v| v.is_finite() && *v >= 0.0).unwrap_or(default)
}
