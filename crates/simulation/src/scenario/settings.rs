//! Derives the settings of the forwarders from a scenario.

use reeddock::{EndpointKind, LateDecay, ListedWeights, MessageClass, Settings, TenantQuota};

use super::destinations::DestinationKind;
use super::messages::{ClassDecay, ClassSpec, Program};
use super::model::Scenario;
use super::world::ListWeights;
use crate::distribution::Amount;

/// Priority weight of a message over its tenant's quota, as a share of the weight of its class.
pub const OVER_QUOTA_WEIGHT: f64 = 0.1;

/// Returns the name of a zone in settings and endpoint lists.
pub fn zone_name(zone: u32) -> String {
    format!("zone-{zone}")
}

impl Scenario {
    /// Returns the settings of a forwarder in a zone; `seed` is the seed of its policy's random numbers.
    pub fn settings(&self, seed: u64, zone: u32) -> Settings {
        let (fleet, recovery) = (&self.fleet, &self.recovery);
        Settings {
            seed,
            forwarders: Some(fleet.forwarders.into()),
            zone: zone_name(zone),
            classes: self.classes.iter().map(message_class).collect(),
            endpoint_kinds: self.kinds.iter().map(endpoint_kind).collect(),
            tenants: self.programs.iter().map(tenant_quota).collect(),
            over_quota_weight: Some(OVER_QUOTA_WEIGHT),
            late_decay: self.late_decay(),
            max_in_flight: Some(fleet.max_in_flight.into()),
            max_pending_messages: Some(fleet.max_pending_messages.into()),
            max_attempts: Some(fleet.max_attempts.into()),
            hedging_allowed: true,
            max_retry_after: fleet.max_retry_after.map(|span| span.0),
            slow_start_floor: Some(recovery.slow_start_floor.get()),
            slow_start_duration: Some(recovery.slow_start_duration.0),
            overload_capacity_multiple: Some(recovery.overload_capacity_multiple.get()),
            overload_window: Some(recovery.overload_window.0),
            ordering_hold_off: Some(fleet.ordering_hold_off.0),
            max_poll_interval: None,
            listed_weights: match self.endpoint_list.weights {
                ListWeights::Rates => ListedWeights::ApproximateRates,
                ListWeights::None => ListedWeights::Unspecified,
            },
            responses_carry_load_reports: false,
            connection_idle_timeout: None,
            cross_zone_price: None,
            connection_price: None,
            zone_fees: Vec::new(),
        }
    }

    /// Returns the decay for all classes, the steeper one if they differ: a forwarder has a single setting.
    fn late_decay(&self) -> LateDecay {
        if self.classes.iter().any(|class| class.late_decay == ClassDecay::Exponential) {
            LateDecay::Exponential
        } else {
            LateDecay::Linear
        }
    }
}

fn message_class(class: &ClassSpec) -> MessageClass {
    MessageClass {
        name: class.name.clone(),
        idempotency: Some(class.idempotency.into()),
        latency_objective: Some(class.latency_objective.0),
        deadline: Some(class.deadline.0),
        priority_weight: Some(class.priority_weight.get()),
        late_weight: Some(class.late_weight.get()),
        ordered: class.ordered_keys.is_some(),
    }
}

fn endpoint_kind(kind: &DestinationKind) -> EndpointKind {
    EndpointKind {
        name: kind.name.clone(),
        circuit_per_endpoint: kind.circuit_per_endpoint,
        max_batch: Some(kind.max_batch.into()),
    }
}

fn tenant_quota(program: &Program) -> TenantQuota {
    TenantQuota { tenant: program.name.clone(), messages_per_second: program.quota_per_s.map(Amount::get) }
}
