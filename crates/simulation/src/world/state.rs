//! The state of a simulation run.

use std::collections::BTreeMap;
use std::time::Duration;

use reeddock::EndpointState;

use super::event::{Event, ListChange};
use super::forwarder::SimulatedForwarder;
use super::records::{ClientSubmission, MessageRecord, RequestRecord};
use crate::account::Account;
use crate::distribution::RandomSource;
use crate::fault::Fault;
use crate::ids::{
    DestinationIndex, EndpointIndex, ForwarderIncarnation, ForwarderIndex, MessageIndex, RequestIndex,
};
use crate::invariants::{ClassRules, FleetRules, InvariantChecker, RetryAfterScope};
use crate::layout::FleetLayout;
use crate::observed::OutageTraffic;
use crate::policy::PolicyFactory;
use crate::random_streams::RandomStream;
use crate::scenario::{ClassSpec, DestinationKind, Scenario, ZonePath};
use crate::schedule::EventSchedule;
use crate::simulated_endpoint::{SimulatedDestination, SimulatedEndpoint};

/// Random streams by purpose, so that draws for one purpose do not shift the draws for another.
pub(super) struct RandomStreams {
    pub(super) arrivals: RandomSource,
    pub(super) service: RandomSource,
    pub(super) network: RandomSource,
    pub(super) clients: RandomSource,
    pub(super) endpoint_list: RandomSource,
    pub(super) forwarders: RandomSource,
}

impl RandomStreams {
    fn open(seed: u64) -> RandomStreams {
        RandomStreams {
            arrivals: RandomStream::Arrivals.open(seed),
            service: RandomStream::Service.open(seed),
            network: RandomStream::Network.open(seed),
            clients: RandomStream::Clients.open(seed),
            endpoint_list: RandomStream::EndpointList.open(seed),
            forwarders: RandomStream::Forwarders.open(seed),
        }
    }
}

/// Endpoint list changes for a forwarder that were postponed because the list was frozen.
pub(super) struct FrozenListChanges {
    pub(super) forwarder: ForwarderIndex,
    pub(super) changes: Vec<ListChange>,
}

/// The state of a simulation run.
pub(crate) struct World<'a> {
    pub(super) scenario: &'a Scenario,
    pub(super) seed: u64,
    pub(super) policy_name: &'a str,
    pub(super) policy_factory: &'a PolicyFactory<'a>,
    pub(super) layout: FleetLayout,
    pub(super) schedule: EventSchedule<Event>,
    pub(super) random: RandomStreams,
    pub(super) submissions: Vec<ClientSubmission>,
    pub(super) messages: Vec<MessageRecord>,
    pub(super) requests: Vec<RequestRecord>,
    pub(super) forwarders: Vec<SimulatedForwarder>,
    pub(super) endpoints: Vec<SimulatedEndpoint>,
    pub(super) destinations: Vec<SimulatedDestination>,
    /// Current endpoint list states by endpoint index. Forwarders learn of changes after a delay.
    pub(super) listed_states: Vec<EndpointState>,
    /// Endpoints affected by each active fault, by index of the fault in the scenario.
    pub(super) active_faults: BTreeMap<usize, Vec<EndpointIndex>>,
    /// Endpoint list changes postponed until the list is no longer frozen.
    pub(super) frozen_list_changes: Vec<FrozenListChanges>,
    pub(super) invariants: InvariantChecker,
    pub(super) account: Account,
    pub(super) outage_traffic: OutageTraffic,
    /// Number of submissions that have not ended.
    pub(super) unfinished_submissions: usize,
    /// Number of programs that submit no more messages.
    pub(super) finished_programs: usize,
    pub(super) policy_runs: u64,
    /// Cumulative traffic weights of the destinations, for weighted draws.
    pub(super) cumulative_destination_weights: Vec<f64>,
    /// Cumulative traffic weights of the message classes, for weighted draws.
    pub(super) cumulative_class_weights: Vec<f64>,
}

/// Returns the cumulative sums of `parts`.
fn cumulative_sums(parts: impl Iterator<Item = f64>) -> Vec<f64> {
    let mut sum = 0.0;
    parts
        .map(|part| {
            sum += part;
            sum
        })
        .collect()
}

/// Returns an invariant checker with the scenario's settings.
fn invariant_checker(scenario: &Scenario) -> InvariantChecker {
    let fleet = &scenario.fleet;
    let rules = |class: &ClassSpec| ClassRules {
        idempotency: class.idempotency.into(),
        ordered: class.ordered_keys.is_some(),
    };
    InvariantChecker::new(FleetRules {
        classes: scenario.classes.iter().map(rules).collect(),
        forwarders: fleet.forwarders as usize,
        drain_grace: fleet.drain_grace.0,
        ordering_hold_off: fleet.ordering_hold_off.0,
        answer_slack: fleet.answer_slack.0 + fleet.tick.0,
    })
}

impl<'a> World<'a> {
    /// Creates the state of a run before its first event.
    pub(crate) fn new(
        scenario: &'a Scenario,
        seed: u64,
        policy_name: &'a str,
        policy_factory: &'a PolicyFactory<'a>,
    ) -> World<'a> {
        let layout = FleetLayout::draw(scenario, seed);
        let destinations = layout.destinations.iter().map(|plan| SimulatedDestination {
            limit: plan.limit.clone(),
            endpoints: plan.endpoints.clone(),
        });
        World {
            scenario,
            seed,
            policy_name,
            policy_factory,
            schedule: EventSchedule::default(),
            random: RandomStreams::open(seed),
            submissions: Vec::new(),
            messages: Vec::new(),
            requests: Vec::new(),
            forwarders: layout.forwarders.iter().map(|plan| SimulatedForwarder::new(plan.zone)).collect(),
            endpoints: layout.endpoints.iter().cloned().map(SimulatedEndpoint::new).collect(),
            destinations: destinations.collect(),
            listed_states: vec![EndpointState::Active; layout.endpoints.len()],
            active_faults: BTreeMap::new(),
            frozen_list_changes: Vec::new(),
            invariants: invariant_checker(scenario),
            account: Account::new(scenario, layout.destinations.len()),
            outage_traffic: OutageTraffic::default(),
            unfinished_submissions: 0,
            finished_programs: 0,
            policy_runs: 0,
            cumulative_destination_weights: cumulative_sums(
                layout.destinations.iter().map(|plan| plan.traffic_part),
            ),
            cumulative_class_weights: cumulative_sums(
                scenario.classes.iter().map(|class| class.traffic_weight.get()),
            ),
            layout,
        }
    }

    /// Returns the simulated time since the start of the run.
    pub(super) fn now(&self) -> Duration {
        self.schedule.now()
    }

    /// Returns the fault with this index in the scenario.
    pub(super) fn fault(&self, index: usize) -> &'a Fault {
        &self.scenario.faults[index].fault
    }

    pub(super) fn kind_of(&self, destination: DestinationIndex) -> &'a DestinationKind {
        &self.scenario.kinds[self.layout.destinations[destination.0].kind]
    }

    pub(super) fn destination_of(&self, endpoint: EndpointIndex) -> DestinationIndex {
        self.endpoints[endpoint.0].plan.destination
    }

    /// Returns the index of a message's class in the scenario.
    pub(super) fn class_of(&self, message: MessageIndex) -> usize {
        self.submissions[self.messages[message.0].submission.0].class
    }

    /// Returns the scope to which a Retry-After from an endpoint applies.
    pub(super) fn retry_after_scope(&self, endpoint: EndpointIndex) -> RetryAfterScope {
        let destination = self.destination_of(endpoint);
        if self.kind_of(destination).circuit_per_endpoint {
            RetryAfterScope::Endpoint(endpoint)
        } else {
            RetryAfterScope::Destination(destination.0)
        }
    }

    /// Returns the current incarnation of a forwarder.
    pub(super) fn incarnation_of(&self, forwarder: ForwarderIndex) -> ForwarderIncarnation {
        ForwarderIncarnation { forwarder, number: self.forwarders[forwarder.0].incarnation }
    }

    /// Draws the one-way network delay between a forwarder and an endpoint.
    pub(super) fn draw_one_way_delay(
        &mut self,
        forwarder: ForwarderIndex,
        endpoint: EndpointIndex,
    ) -> Duration {
        let path =
            ZonePath { from: self.forwarders[forwarder.0].zone, to: self.endpoints[endpoint.0].plan.zone };
        self.scenario.network.one_way(path, &mut self.random.network)
    }

    /// Draws the one-way network delay of a request or of its response.
    pub(super) fn draw_request_one_way_delay(&mut self, request: RequestIndex) -> Duration {
        let record = &self.requests[request.0];
        let (forwarder, endpoint) = (record.sender.forwarder, record.endpoint);
        self.draw_one_way_delay(forwarder, endpoint)
    }
}
