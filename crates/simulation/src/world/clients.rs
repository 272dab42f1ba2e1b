//! Programs and their clients: first tries, returns after a shed, withdrawals.

use std::time::Duration;

use rand::RngExt;

use super::{Event, World};
use crate::fault::Fault;
use crate::invariants::{Answer, MessageIndex, SubmissionIndex};
use crate::layout::{DestinationIndex, ForwarderIndex};

/// What a client wants delivered, over all its hand-ins.
pub(crate) struct FirstTry {
    pub category: usize,
    pub program: usize,
    pub key: Option<u64>,
    pub destination: DestinationIndex,
    pub first: Duration,
    /// Seconds at a destination of usual pace.
    pub work: f64,
    pub returns_left: u32,
    /// How often its effect was applied.
    pub applied: u32,
    pub over: bool,
}

/// Which part of a running sum a draw falls in.
fn part_of(sums: &[f64], drawn: f64) -> usize {
    let total = sums.last().copied().unwrap_or(0.0);
    sums.partition_point(|s| *s <= drawn * total).min(sums.len().saturating_sub(1))
}

impl World<'_> {
    /// How many times its usual traffic a program sends now.
    fn swell(&self, program: usize) -> f64 {
        let times = self.met.keys().map(|n| match &self.scenario.troubles[*n].what {
            Fault::Burst { times } => times.get(),
            Fault::Surge { program: p, times } if *p == self.scenario.programs[program].name => times.get(),
            _ => 1.0,
        });
        times.product()
    }

    /// Messages of one clump against single ones, for each arrival that is not one.
    fn per_arrival(&self, program: usize) -> (f64, f64) {
        let (share, size) =
            (self.scenario.traffic.clumped.get(), self.scenario.traffic.clump.mean().max(1.0));
        let chance = share / (size * (1.0 - share) + share).max(1e-9);
        let bunch = self.scenario.programs[program].bunch.mean().max(1.0);
        (chance, bunch * (chance * size + 1.0 - chance))
    }

    pub(super) fn next_arrival(&mut self, program: usize) -> Duration {
        let traffic = &self.scenario.traffic;
        let parts: f64 = self.scenario.programs.iter().map(|p| p.part.get()).sum();
        let part = self.scenario.programs[program].part.get() / parts;
        let (_, envelopes) = self.per_arrival(program);
        let rate = traffic.usual_per_s.get() * traffic.load.get() * part * self.swell(program) / envelopes;
        let drawn: f64 = self.chances.arrivals.random();
        let gap = crate::distribution::to_span(-(1.0 - drawn).max(1e-12).ln() / rate.max(1e-9));
        self.now() + gap.max(Duration::from_micros(1))
    }

    pub(super) fn arrive(&mut self, program: usize) {
        if self.now() >= self.scenario.lasts.0 {
            self.arrivals_over += 1;
            return;
        }
        let (clump_chance, _) = self.per_arrival(program);
        let scenario = self.scenario;
        let chance = &mut self.chances.arrivals;
        let clumped = chance.random::<f64>() < clump_chance;
        let clump = scenario.traffic.clump.draw(chance).round().clamp(1.0, 1e4) as usize;
        let bunch = scenario.programs[program].bunch.draw(chance).round().clamp(1.0, 1e5) as usize;
        let many = bunch * if clumped { clump } else { 1 };
        let mut destination = None;
        for _ in 0..many {
            let drawn = DestinationIndex(part_of(&self.destination_sums, self.chances.arrivals.random()));
            let to = *destination.get_or_insert(drawn);
            self.first_try(program, to);
            if !clumped {
                destination = None;
            }
        }
        let next = self.next_arrival(program);
        self.schedule.enter(next, Event::Arrive { program });
    }

    fn first_try(&mut self, program: usize, destination: DestinationIndex) {
        let now = self.now();
        let chance = &mut self.chances.arrivals;
        let category = part_of(&self.category_sums, chance.random());
        let terms = &self.scenario.categories[category];
        let key = chance.random::<u64>();
        let work = terms.work_ms.draw(chance) / 1e3;
        let first_try = SubmissionIndex(self.tries.len());
        self.account.asked(self.scenario, now, category, program, destination);
        self.tries.push(FirstTry {
            category,
            program,
            // Keys are of one destination: an order across destinations means nothing.
            key: terms.ordered_keys.map(|keys| ((destination.0 as u64) << 24) | (key % u64::from(keys))),
            destination,
            first: now,
            work,
            returns_left: self.scenario.programs[program].returns,
            applied: 0,
            over: false,
        });
        self.open += 1;
        self.submit(first_try);
    }

    /// The forwarder that a client reaches: messages of one key come to one while it runs.
    fn reached_forwarder(&mut self, key: Option<u64>) -> Option<ForwarderIndex> {
        let many = self.stations.len();
        let drawn: f64 = self.chances.clients.random();
        let spread: f64 = self.chances.clients.random();
        let mut shift = None;
        for n in self.met.keys() {
            if let Fault::Shift { which, share } = &self.scenario.troubles[*n].what {
                shift = Some((self.layout.which(which), share.get()));
            }
        }
        let first = match (key, shift) {
            (Some(key), _) => (key.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33) as usize % many,
            (None, Some((to, share))) if drawn < share && !to.is_empty() => {
                to[((spread * to.len() as f64) as usize).min(to.len() - 1)].0
            }
            (None, _) => {
                let mut left = spread * self.layout.forwarders.iter().map(|f| f.1).sum::<f64>();
                let fits = |f: &(u32, f64)| {
                    left -= f.1;
                    left < 0.0
                };
                self.layout.forwarders.iter().position(fits).unwrap_or(many - 1)
            }
        };
        let runs = |n: &usize| self.stations[*n].runs();
        (0..many).map(|step| (first + step) % many).find(runs).map(ForwarderIndex)
    }

    pub(super) fn submit(&mut self, first_try: SubmissionIndex) {
        let key = self.tries[first_try.0].key;
        let room = self.scenario.fleet.room as usize;
        let forwarder = self.reached_forwarder(key).filter(|f| self.stations[f.0].open < room);
        match forwarder {
            Some(forwarder) => self.take(first_try, forwarder),
            None => {
                self.account.ends.turned_away += 1;
                self.refused(first_try, None);
            }
        }
    }

    /// A shed message's client hears so, or was turned away at the door.
    pub(super) fn refused(&mut self, first_try: SubmissionIndex, come_back: Option<Duration>) {
        let program = &self.scenario.programs[self.tries[first_try.0].program];
        let after = program.return_after_s.span(&mut self.chances.clients);
        let heeds = program.heeds.strikes(&mut self.chances.clients);
        let wait = come_back.filter(|_| heeds).unwrap_or_default();
        let t = &mut self.tries[first_try.0];
        if t.returns_left == 0 || t.over {
            return self.try_over(first_try);
        }
        t.returns_left -= 1;
        let at = self.now() + after.max(wait).max(Duration::from_micros(1));
        self.schedule.enter(at, Event::Return(first_try));
    }

    /// Comes to a live forwarder again after its own was killed; that is no return of the client's.
    pub(super) fn orphaned(&mut self, first_try: SubmissionIndex) {
        let program = &self.scenario.programs[self.tries[first_try.0].program];
        let after = program.return_after_s.span(&mut self.chances.clients);
        let at = self.now() + after.max(Duration::from_millis(1));
        self.schedule.enter(at, Event::Return(first_try));
    }

    pub(super) fn come_again(&mut self, first_try: SubmissionIndex) {
        let t = &self.tries[first_try.0];
        let limit = t.first + self.scenario.categories[t.category].outer_limit.0;
        if t.over || self.now() >= limit {
            return self.try_over(first_try);
        }
        self.submit(first_try);
    }

    pub(super) fn try_over(&mut self, first_try: SubmissionIndex) {
        let t = &mut self.tries[first_try.0];
        if !t.over {
            t.over = true;
            self.open -= 1;
        }
    }

    pub(super) fn withdraw(&mut self, envelope: MessageIndex) {
        // One that is down hears nothing, and goes on with what its ledger holds.
        let owner = self.envelopes[envelope.0].forwarder;
        if !self.envelopes[envelope.0].over && self.stations[owner.0].runs() {
            self.invariants.answered(self.now(), envelope, Answer::Withdrawn);
            self.account.ends.withdrawn += 1;
            self.gone(envelope);
        }
    }

    pub(super) fn overdue(&mut self, envelope: MessageIndex) {
        // A forwarder that is down answers for what its ledger holds once it runs again.
        let owner = self.envelopes[envelope.0].forwarder;
        let open = !self.envelopes[envelope.0].over && self.stations[owner.0].runs();
        if open && self.invariants.overdue(self.now(), envelope) {
            self.gone(envelope);
        }
    }
}
