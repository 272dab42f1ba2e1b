//! The run itself: events in order of time, each handled by the part that it belongs to.

mod clients;
mod forwarders;
mod targets;
mod troubles;

use std::collections::BTreeMap;
use std::time::Duration;

use reeddock::{AttemptOutcome, EndpointState};

use crate::account::{Account, WATCHED};
use crate::distribution::Chance;
use crate::invariants::{CategoryRules, InvariantChecker, MessageIndex, Place, SubmissionIndex};
use crate::layout::{chance, purpose, DestinationIndex, EndpointIndex, FleetLayout, ForwarderIndex};
use crate::observed::{Observed, SentToDown};
use crate::policy::PolicyFactory;
use crate::report::{rounded, Latency, Part, Report, Watched, WORST_SPAN};
use crate::scenario::Scenario;
use crate::schedule::EventSchedule;
use crate::simulated_endpoint::{DestinationState, RequestId, SimulatedEndpoint};

use clients::FirstTry;
use forwarders::{Call, Envelope, Notice, SimulatedForwarder};

/// What is to come. Forwarders are named with their start: what was meant for an earlier one is void.
pub(crate) enum Event {
    Arrive {
        program: usize,
    },
    Return(SubmissionIndex),
    Withdraw(MessageIndex),
    Overdue(MessageIndex),
    Turn(ForwarderIndex, u32),
    Alarm(ForwarderIndex, u32),
    Notice(ForwarderIndex, u32, Notice),
    /// A list change is due at a forwarder.
    ListDue(ForwarderIndex, Vec<(EndpointIndex, EndpointState)>),
    Reach(RequestId),
    NotConnected(RequestId),
    /// A worker of that life of the endpoint is done.
    Done(EndpointIndex, u32, RequestId),
    Answer(RequestId, AttemptOutcome),
    TimeOut(RequestId, usize),
    ProbeReaches(ForwarderIndex, u32, EndpointIndex),
    TroubleBegins(usize),
    TroubleEnds(usize),
    /// What fell over comes back.
    Risen(EndpointIndex),
    /// Once a second: what the watched destinations could serve.
    Sample,
}

/// Streams of chance that decisions must not shift against each other.
pub(crate) struct Chances {
    arrivals: Chance,
    service: Chance,
    network: Chance,
    clients: Chance,
    list: Chance,
    starts: Chance,
}

pub struct World<'a> {
    scenario: &'a Scenario,
    seed: u64,
    name: &'a str,
    maker: &'a PolicyFactory<'a>,
    layout: FleetLayout,
    schedule: EventSchedule<Event>,
    chances: Chances,
    tries: Vec<FirstTry>,
    envelopes: Vec<Envelope>,
    calls: Vec<Call>,
    stations: Vec<SimulatedForwarder>,
    partners: Vec<SimulatedEndpoint>,
    destinations: Vec<DestinationState>,
    /// How the list has each endpoint, whoever was told so yet.
    listed: Vec<EndpointState>,
    /// Endpoints that each fault that stands has met.
    met: BTreeMap<usize, Vec<EndpointIndex>>,
    /// List changes that wait for the end of a freeze.
    frozen: Vec<(ForwarderIndex, Vec<(EndpointIndex, EndpointState)>)>,
    invariants: InvariantChecker,
    account: Account,
    down: SentToDown,
    /// First tries that may still bring an event: open, or on their way back.
    open: usize,
    arrivals_over: usize,
    turns: u64,
    /// Parts of traffic, summed for drawing.
    destination_sums: Vec<f64>,
    category_sums: Vec<f64>,
}

const SECOND: Duration = Duration::from_secs(1);

fn sums(parts: impl Iterator<Item = f64>) -> Vec<f64> {
    let mut sum = 0.0;
    parts
        .map(|p| {
            sum += p;
            sum
        })
        .collect()
}

impl<'a> World<'a> {
    pub fn new(scenario: &'a Scenario, seed: u64, name: &'a str, maker: &'a PolicyFactory<'a>) -> World<'a> {
        let layout = FleetLayout::draw(scenario, seed);
        let fleet = &scenario.fleet;
        let rules = |c: &crate::scenario::Category| CategoryRules {
            effect: c.effect(),
            ordered: c.ordered_keys.is_some(),
        };
        let slack = fleet.answer_slack.0 + fleet.tick.0;
        let invariants = InvariantChecker::new(
            scenario.categories.iter().map(rules).collect(),
            layout.forwarders.len(),
            fleet.drain_grace.0,
            fleet.key_rest.0,
            slack,
        );
        let stream = |purpose| chance(seed, purpose);
        World {
            scenario,
            seed,
            name,
            maker,
            schedule: EventSchedule::default(),
            chances: Chances {
                arrivals: stream(purpose::ARRIVALS),
                service: stream(purpose::SERVICE),
                network: stream(purpose::NETWORK),
                clients: stream(purpose::CLIENTS),
                list: stream(purpose::LIST),
                starts: stream(purpose::FORWARDERS),
            },
            tries: Vec::new(),
            envelopes: Vec::new(),
            calls: Vec::new(),
            stations: layout.forwarders.iter().map(|(zone, _)| SimulatedForwarder::new(*zone)).collect(),
            partners: layout.targets.iter().cloned().map(SimulatedEndpoint::new).collect(),
            destinations: layout
                .destinations
                .iter()
                .map(|d| DestinationState { gate: d.gate.clone(), targets: d.targets.clone() })
                .collect(),
            listed: vec![EndpointState::Active; layout.targets.len()],
            met: BTreeMap::new(),
            frozen: Vec::new(),
            invariants,
            account: Account::new(scenario, layout.destinations.len()),
            down: SentToDown::default(),
            open: 0,
            arrivals_over: 0,
            turns: 0,
            destination_sums: sums(layout.destinations.iter().map(|d| d.part)),
            category_sums: sums(scenario.categories.iter().map(|c| c.part.get())),
            layout,
        }
    }

    fn now(&self) -> Duration {
        self.schedule.now()
    }

    fn place_of(&self, target: EndpointIndex) -> Place {
        let destination = self.partners[target.0].plan.destination;
        if self.scenario.kinds[self.layout.destinations[destination.0].kind].apart {
            Place::Target(target)
        } else {
            Place::Destination(destination.0)
        }
    }

    fn kind_of(&self, destination: DestinationIndex) -> &'a crate::scenario::Kind {
        &self.scenario.kinds[self.layout.destinations[destination.0].kind]
    }

    /// Plays until every first try has its end.
    pub fn play(mut self) -> Report {
        self.play_on();
        self.report()
    }

    /// The same, and gives what only the simulation can see.
    pub fn play_observed(mut self) -> (Report, Observed) {
        self.play_on();
        let observed = self.observed();
        (self.report(), observed)
    }

    fn observed(&self) -> Observed {
        let mut ramps = Vec::new();
        let mut down = self.down;
        for (n, simulated_endpoint) in self.partners.iter().enumerate() {
            let destination = simulated_endpoint.plan.destination;
            let usual = self.layout.destinations[destination.0].usual;
            ramps.extend(
                simulated_endpoint.returns.iter().map(|r| r.ramp(EndpointIndex(n), destination, usual)),
            );
            let since = simulated_endpoint.down_since.unwrap_or(self.scenario.lasts.0);
            down.target_seconds += self.scenario.lasts.0.saturating_sub(since).as_secs_f64();
        }
        let met = self.account.met_down();
        (down.credit_asked, down.credit_earned) = (rounded(met.asked), rounded(met.earned));
        down.target_seconds = rounded(down.target_seconds);
        Observed { ramps, down }
    }

    fn play_on(&mut self) {
        for n in 0..self.stations.len() {
            self.start(ForwarderIndex(n));
        }
        for program in 0..self.scenario.programs.len() {
            let first = self.next_arrival(program);
            self.schedule.enter(first, Event::Arrive { program });
        }
        for (n, trouble) in self.scenario.troubles.iter().enumerate() {
            self.schedule.enter(trouble.at.0, Event::TroubleBegins(n));
            self.schedule.enter(trouble.ends(), Event::TroubleEnds(n));
        }
        self.schedule.enter(Duration::ZERO, Event::Sample);
        while let Some((at, event)) = self.schedule.pop() {
            let over = self.arrivals_over == self.scenario.programs.len() && self.open == 0;
            if over && at >= self.scenario.lasts.0 {
                break;
            }
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive { program } => self.arrive(program),
            Event::Return(first_try) => self.come_again(first_try),
            Event::Withdraw(envelope) => self.withdraw(envelope),
            Event::Overdue(envelope) => self.overdue(envelope),
            Event::Turn(forwarder, start) => self.turn(forwarder, start),
            Event::Alarm(forwarder, start) => self.tell(forwarder, start, Notice::Alarm),
            Event::Notice(forwarder, start, notice) => self.tell(forwarder, start, notice),
            Event::ListDue(forwarder, changes) => self.list_due(forwarder, changes),
            Event::Reach(call) => self.reach(call),
            Event::NotConnected(call) => self.answer(call, AttemptOutcome::NoConnection),
            Event::Done(target, life, call) => self.done(target, life, call),
            Event::Answer(call, outcome) => self.answer(call, outcome),
            Event::TimeOut(call, part) => self.stop_waiting(call, part, AttemptOutcome::TimedOut),
            Event::ProbeReaches(forwarder, start, target) => self.probe_reaches(forwarder, start, target),
            Event::TroubleBegins(n) => self.trouble_begins(n),
            Event::TroubleEnds(n) => self.trouble_ends(n),
            Event::Risen(target) => self.risen(target),
            Event::Sample => self.sample(),
        }
    }

    fn sample(&mut self) {
        let now = self.now();
        for n in (0..self.layout.destinations.len()).take(WATCHED).map(DestinationIndex) {
            let capacity = self.capacity_now(n);
            if let Some(load) = self.account.load(n, now) {
                load.capacity = capacity;
            }
        }
        if now + SECOND < self.scenario.lasts.0 {
            self.schedule.enter(now + SECOND, Event::Sample);
        }
    }

    fn report(self) -> Report {
        let (rules_broken, broken) = self.invariants.verdict();
        let account = &self.account;
        let part = |name: String, credit: crate::account::Credit| Part {
            name,
            asked: rounded(credit.asked),
            share: rounded(credit.share()),
        };
        let categories: Vec<Part> = (self.scenario.categories.iter().enumerate())
            .map(|(n, c)| part(c.name.clone(), account.category(n)))
            .collect();
        let programs = (self.scenario.programs.iter().enumerate())
            .map(|(n, p)| part(p.name.clone(), account.program(n)));
        let lost = |n: &usize| account.destination(*n).asked - account.destination(*n).earned;
        let mut worst: Vec<usize> = (0..self.layout.destinations.len()).collect();
        worst.sort_by(|a, b| lost(b).total_cmp(&lost(a)).then(a.cmp(b)));
        let destination = |n: &usize| {
            let kind = &self.scenario.kinds[self.layout.destinations[*n].kind].name;
            part(format!("{n} ({kind})"), account.destination(*n))
        };
        let watched = account.loads.iter().enumerate().map(|(n, loads)| Watched {
            destination: n,
            kind: self.scenario.kinds[self.layout.destinations[n].kind].name.clone(),
            limit: self.layout.destinations[n].gate.per_s().map(rounded),
            seconds: loads.clone(),
        });
        let latency = account.latency();
        let tries = account.first_tries().max(1) as f64;
        let slots = self.scenario.fleet.slots as f64 * self.scenario.fleet.forwarders as f64;
        let seconds = account.seconds.iter().map(|s| {
            let credit =
                crate::account::Credit { asked: rounded(s.credit.asked), earned: rounded(s.credit.earned) };
            crate::account::Second { credit, ..*s }
        });
        Report {
            scenario: self.scenario.name.clone(),
            policy: self.name.to_owned(),
            seed: self.seed,
            credit: rounded(account.whole().share()),
            credit_worst_span: rounded(account.worst_span(WORST_SPAN)),
            credit_worst_category: categories.iter().map(|c| c.share).fold(1.0, f64::min),
            first_tries: account.first_tries() as u64,
            envelopes: self.envelopes.len() as u64,
            programs: programs.collect(),
            destinations: worst.iter().take(2 * WATCHED).map(destination).collect(),
            ends: account.ends,
            dispatches: account.dispatches,
            latency_ms: Latency {
                p50: latency.value_at_quantile(0.5),
                p90: latency.value_at_quantile(0.9),
                p99: latency.value_at_quantile(0.99),
                worst: latency.max(),
            },
            dispatches_per_try: rounded(account.dispatches.all as f64 / tries),
            refusals_per_try: rounded(account.dispatches.full as f64 / tries),
            work_wasted: rounded(1.0 - account.work_useful / account.work_done.max(1e-9)),
            slots_used: rounded(account.slot_seconds / (slots * self.scenario.lasts.seconds())),
            new_connections_per_try: rounded(account.new_connections as f64 / tries),
            repeats_applied: account.repeats_applied,
            falls: account.falls,
            rules_broken,
            broken,
            seconds: seconds.collect(),
            watched: watched.collect(),
            latency_steps: account.latency_steps(),
            unfinished: self.open,
            ran_s: rounded(self.schedule.now().as_secs_f64()),
            events: self.schedule.entered(),
            turns: self.turns,
            categories,
        }
    }
}
