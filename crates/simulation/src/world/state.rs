//! The state of a world.

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

/// A random stream for each purpose, so that draws for one do not shift those for another.
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

/// Changes of the endpoint list that a forwarder was to learn of while the list was frozen.
pub(super) struct FrozenListChanges {
    pub(super) forwarder: ForwarderIndex,
    pub(super) changes: Vec<ListChange>,
}

/// A world that is being played.
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
    /// State of each endpoint on the endpoint list now; forwarders learn of it later.
    pub(super) listed_states: Vec<EndpointState>,
    /// Endpoints that each active fault affects, by the fault's place in the scenario.
    pub(super) active_faults: BTreeMap<usize, Vec<EndpointIndex>>,
    /// Changes of the endpoint list that wait for the end of a freeze.
    pub(super) frozen_list_changes: Vec<FrozenListChanges>,
    pub(super) invariants: InvariantChecker,
    pub(super) account: Account,
    pub(super) sent_to_down: OutageTraffic,
    /// Submissions to which something may still happen.
    pub(super) open_submissions: usize,
    /// Programs whose messages have all arrived.
    pub(super) programs_done: usize,
    pub(super) policy_runs: u64,
    /// Running sums of the destinations' parts of the traffic, for drawing.
    pub(super) destination_sums: Vec<f64>,
    /// Running sums of the classes' parts of the traffic, for drawing.
    pub(super) class_sums: Vec<f64>,
}

/// The sum of all parts up to each of them.
fn running_sums(parts: impl Iterator<Item = f64>) -> Vec<f64> {
    let mut sum = 0.0;
    parts
        .map(|part| {
            sum += part;
            sum
        })
        .collect()
}

/// A checker of the rules that the scenario's settings state.
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
    /// A world before its first event.
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
            sent_to_down: OutageTraffic::default(),
            open_submissions: 0,
            programs_done: 0,
            policy_runs: 0,
            destination_sums: running_sums(layout.destinations.iter().map(|plan| plan.traffic_part)),
            class_sums: running_sums(scenario.classes.iter().map(|class| class.traffic_weight.get())),
            layout,
        }
    }

    /// The simulated time.
    pub(super) fn now(&self) -> Duration {
        self.schedule.now()
    }

    /// A fault, by its place in the scenario.
    pub(super) fn fault(&self, index: usize) -> &'a Fault {
        &self.scenario.faults[index].fault
    }

    /// The kind of a destination.
    pub(super) fn kind_of(&self, destination: DestinationIndex) -> &'a DestinationKind {
        &self.scenario.kinds[self.layout.destinations[destination.0].kind]
    }

    /// The destination of an endpoint.
    pub(super) fn destination_of(&self, endpoint: EndpointIndex) -> DestinationIndex {
        self.endpoints[endpoint.0].plan.destination
    }

    /// The class of a message, by its index.
    pub(super) fn class_of(&self, message: MessageIndex) -> usize {
        self.submissions[self.messages[message.0].submission.0].class
    }

    /// What a Retry-After of an endpoint holds for.
    pub(super) fn retry_after_scope(&self, endpoint: EndpointIndex) -> RetryAfterScope {
        let destination = self.destination_of(endpoint);
        if self.kind_of(destination).circuit_per_endpoint {
            RetryAfterScope::Endpoint(endpoint)
        } else {
            RetryAfterScope::Destination(destination.0)
        }
    }

    /// The present incarnation of a forwarder.
    pub(super) fn incarnation_of(&self, forwarder: ForwarderIndex) -> ForwarderIncarnation {
        ForwarderIncarnation { forwarder, number: self.forwarders[forwarder.0].incarnation }
    }

    /// Draws the one-way delay between a forwarder and an endpoint.
    pub(super) fn one_way(&mut self, forwarder: ForwarderIndex, endpoint: EndpointIndex) -> Duration {
        let path =
            ZonePath { from: self.forwarders[forwarder.0].zone, to: self.endpoints[endpoint.0].plan.zone };
        self.scenario.network.one_way(path, &mut self.random.network)
    }

    /// Draws the one-way delay of a request or its response.
    pub(super) fn one_way_of(&mut self, request: RequestIndex) -> Duration {
        let record = &self.requests[request.0];
        let (forwarder, endpoint) = (record.sender.forwarder, record.endpoint);
        self.one_way(forwarder, endpoint)
    }
}
