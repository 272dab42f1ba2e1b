//! Credit as the operators count it, and what it cost: kept as the run goes, read once at its end.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::layout::DestinationIndex;
use crate::scenario::{Scenario, OVER_SHARE_CREDIT};

/// Credit asked for and earned.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Credit {
    pub asked: f64,
    pub earned: f64,
}

impl Credit {
    /// Part of what was asked for; all of it where nothing was.
    pub fn share(self) -> f64 {
        if self.asked > 0.0 {
            self.earned / self.asked
        } else {
            1.0
        }
    }

    fn ask(&mut self, credit: f64) {
        self.asked += credit;
    }

    fn earn(&mut self, credit: f64) {
        self.earned += credit;
    }
}

/// Counts of one second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Second {
    /// By the second of the first try.
    pub credit: Credit,
    pub dispatched: u32,
    pub completed: u32,
    pub refused: u32,
    pub shed: u32,
    pub broken_off: u32,
}

/// What one destination met in one second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    pub calls: u32,
    pub refused: u32,
    pub served: u32,
    /// Calls a second that it could serve when that second began.
    pub capacity: f64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Ends {
    pub completed_in_time: u64,
    pub completed_late: u64,
    pub shed: u64,
    pub broken_off: u64,
    pub withdrawn: u64,
    /// Turned away at the door: the forwarder's room was full, or none ran.
    pub turned_away: u64,
    /// With a forwarder that was killed.
    pub lost: u64,
}

/// How attempts ended, as the forwarders were told.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Dispatches {
    pub all: u64,
    pub calls: u64,
    pub completed: u64,
    pub errors: u64,
    pub full: u64,
    pub timed_out: u64,
    pub no_connection: u64,
    pub broken: u64,
    pub called_off: u64,
    pub unsent: u64,
}

/// Destinations whose seconds are kept: the ones with most traffic.
pub const WATCHED: usize = 6;

pub struct Account {
    /// Credit and times of each first try, by number.
    tries: Vec<FirstTry>,
    categories: Vec<Credit>,
    programs: Vec<Credit>,
    destinations: Vec<Credit>,
    pub seconds: Vec<Second>,
    pub loads: Vec<Vec<Load>>,
    pub ends: Ends,
    pub dispatches: Dispatches,
    /// Milliseconds from the first try to the completion.
    latency: Histogram<u64>,
    pub work_done: f64,
    pub work_useful: f64,
    pub slot_seconds: f64,
    pub new_connections: u64,
    pub notes: u64,
    pub probes: u64,
    /// Times that a receipted or pure effect was applied again.
    pub repeats_applied: u64,
    pub falls: u64,
    /// Of messages that met a destination that was down.
    met_down: Credit,
    purse: Vec<(f64, Duration)>,
}

struct FirstTry {
    category: usize,
    program: usize,
    destination: DestinationIndex,
    first: Duration,
    credit: f64,
    completed: bool,
    met_down: bool,
}

impl Account {
    pub fn new(scenario: &Scenario, destinations: usize) -> Account {
        Account {
            tries: Vec::new(),
            categories: vec![Credit::default(); scenario.categories.len()],
            programs: vec![Credit::default(); scenario.programs.len()],
            destinations: vec![Credit::default(); destinations],
            seconds: Vec::new(),
            loads: vec![Vec::new(); destinations.min(WATCHED)],
            ends: Ends::default(),
            dispatches: Dispatches::default(),
            latency: latencies(),
            work_done: 0.0,
            work_useful: 0.0,
            slot_seconds: 0.0,
            new_connections: 0,
            notes: 0,
            probes: 0,
            repeats_applied: 0,
            falls: 0,
            met_down: Credit::default(),
            purse: vec![(0.0, Duration::ZERO); scenario.programs.len()],
        }
    }

    pub fn second(&mut self, at: Duration) -> &mut Second {
        let n = at.as_secs() as usize;
        if self.seconds.len() <= n {
            self.seconds.resize(n + 1, Second::default());
        }
        &mut self.seconds[n]
    }

    /// What a watched destination meets now.
    pub fn load(&mut self, destination: DestinationIndex, at: Duration) -> Option<&mut Load> {
        let loads = self.loads.get_mut(destination.0)?;
        let n = at.as_secs() as usize;
        if loads.len() <= n {
            loads.resize(n + 1, Load::default());
        }
        loads.get_mut(n)
    }

    /// A first try; tries are numbered in this order.
    pub fn asked(
        &mut self,
        scenario: &Scenario,
        now: Duration,
        category: usize,
        program: usize,
        destination: DestinationIndex,
    ) {
        let mut credit = scenario.categories[category].credit.get();
        if let Some(share) = scenario.programs[program].share_per_s {
            // Two seconds of the share may come at once.
            let (purse, since) = &mut self.purse[program];
            let filled = *purse + share.get() * now.saturating_sub(*since).as_secs_f64();
            let most = 2.0 * share.get().max(1.0);
            *purse = if since.is_zero() && *purse == 0.0 { most } else { filled.min(most) };
            *since = now;
            if *purse >= 1.0 {
                *purse -= 1.0;
            } else {
                credit *= OVER_SHARE_CREDIT;
            }
        }
        self.categories[category].ask(credit);
        self.programs[program].ask(credit);
        self.destinations[destination.0].ask(credit);
        self.second(now).credit.ask(credit);
        self.tries.push(FirstTry {
            category,
            program,
            destination,
            first: now,
            credit,
            completed: false,
            met_down: false,
        });
    }

    /// A try was submitted while its destination was down.
    pub fn meets_down(&mut self, first_try: usize) {
        let Some(t) = self.tries.get_mut(first_try).filter(|t| !t.met_down) else { return };
        t.met_down = true;
        self.met_down.ask(t.credit);
    }

    /// Credit of the tries that met a destination that was down.
    pub fn met_down(&self) -> Credit {
        self.met_down
    }

    /// The first completion of a try counts; says whether this was it.
    pub fn completed(&mut self, scenario: &Scenario, now: Duration, first_try: usize) -> bool {
        let Some(t) = self.tries.get_mut(first_try).filter(|t| !t.completed) else { return false };
        t.completed = true;
        let after = now.saturating_sub(t.first);
        let category = &scenario.categories[t.category];
        let earned = t.credit * category.earned(after);
        let (c, p, d, first, met_down) = (t.category, t.program, t.destination, t.first, t.met_down);
        self.categories[c].earn(earned);
        self.programs[p].earn(earned);
        self.destinations[d.0].earn(earned);
        if met_down {
            self.met_down.earn(earned);
        }
        self.second(first).credit.earn(earned);
        self.second(now).completed += 1;
        self.latency.saturating_record(u64::try_from(after.as_millis()).unwrap_or(u64::MAX));
        if after <= category.promised.0 {
            self.ends.completed_in_time += 1;
        } else {
            self.ends.completed_late += 1;
        }
        true
    }

    pub fn first_tries(&self) -> usize {
        self.tries.len()
    }

    pub fn category(&self, n: usize) -> Credit {
        self.categories[n]
    }

    pub fn program(&self, n: usize) -> Credit {
        self.programs[n]
    }

    pub fn destination(&self, n: usize) -> Credit {
        self.destinations[n]
    }

    pub fn whole(&self) -> Credit {
        let mut whole = Credit::default();
        for credit in &self.categories {
            whole.ask(credit.asked);
            whole.earn(credit.earned);
        }
        whole
    }

    /// Least share of credit over so many seconds in a row.
    pub fn worst_span(&self, seconds: usize) -> f64 {
        let asked = self.seconds.iter().rposition(|s| s.credit.asked > 0.0).map_or(0, |n| n + 1);
        let spans = self.seconds[..asked].windows(seconds.clamp(1, asked.max(1)));
        let share = |span: &[Second]| {
            let mut sum = Credit::default();
            for s in span {
                sum.ask(s.credit.asked);
                sum.earn(s.credit.earned);
            }
            sum.share()
        };
        spans.map(share).fold(1.0, f64::min)
    }

    pub fn latency(&self) -> &Histogram<u64> {
        &self.latency
    }

    /// Counts of latencies in milliseconds, after the upper end of their step.
    pub fn latency_steps(&self) -> Vec<(u64, u64)> {
        self.latency.iter_recorded().map(|v| (v.value_iterated_to(), v.count_at_value())).collect()
    }
}

/// Latencies in milliseconds up to a day, to two digits.
pub fn latencies() -> Histogram<u64> {
    let built = Histogram::new_with_bounds(1, 86_400_000, 2);
    built.unwrap_or_else(|_| Histogram::new(2).expect("two digits are within what the histogram keeps"))
}
