//! What forwarders could tell each other of destinations that are down: the same circuit, kept by each alone or
//! fed by all. A baseline that shows what sharing is worth; nothing of it reaches the daemon.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use rand::RngExt;
use reeddock::{AttemptOutcome, EndpointId, PolicyHost, Settings};

use super::baseline_host::{BaselineHost, BaselinePolicy, QueuedMessage, View};
use super::baseline_policies::back_off;
use crate::distribution::Chance;
use crate::policy::Policy;

/// Failures within the window that restrain an endpoint.
const THRESHOLD: usize = 3;
/// From a failure or a trial to the next trial.
const RECOVERY_DELAY: Duration = Duration::from_secs(5);
/// Failures count together for so long.
const WINDOW: Duration = Duration::from_secs(50);
/// A record that can no longer matter is dropped after so much longer.
const RECORD_MARGIN: Duration = Duration::from_secs(5);
/// News kept for each endpoint.
const NEWS_KEPT: usize = 64;
/// How often a forwarder that holds something looks at the record.
const LOOK: Duration = Duration::from_millis(250);

#[derive(Clone, Copy, PartialEq, Eq)]
enum News {
    Failed,
    Succeeded,
    /// A trial left.
    Tried,
}

struct Told {
    at: Duration,
    from: usize,
    news: News,
}

/// What an endpoint's circuit says to an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CircuitAdmission {
    Send,
    Trial,
    Hold,
}

/// The news of all members, and how long they take from one to another.
pub struct CircuitExchange {
    delay: Duration,
    members: usize,
    told: BTreeMap<EndpointId, VecDeque<Told>>,
}

impl CircuitExchange {
    /// An exchange whose news reach other members after this delay.
    pub fn new(delay: Duration) -> CircuitExchange {
        CircuitExchange { delay, members: 0, told: BTreeMap::new() }
    }

    /// The number of a further member.
    pub fn join(&mut self) -> usize {
        self.members += 1;
        self.members - 1
    }

    fn tell(&mut self, target: EndpointId, at: Duration, from: usize, news: News) {
        let told = self.told.entry(target).or_default();
        // Nothing is known against it, so that a success is no news.
        if news == News::Succeeded && told.is_empty() {
            return;
        }
        told.push_back(Told { at, from, news });
        if told.len() > NEWS_KEPT {
            told.pop_front();
        }
    }

    /// What the circuit of an endpoint is at one member, by the news that have reached it.
    pub fn leave(&self, target: EndpointId, now: Duration, member: usize) -> CircuitAdmission {
        let Some(told) = self.told.get(&target) else { return CircuitAdmission::Send };
        let reached = told.iter().filter(|t| t.from == member || t.at + self.delay <= now);
        let mut failures: Vec<Duration> = Vec::new();
        let mut restrained_until: Option<Duration> = None;
        let mut last_write = Duration::ZERO;
        let expired = |until: Option<Duration>, last: Duration, now: Duration| {
            now > until.unwrap_or_default().max(last + WINDOW) + RECORD_MARGIN
        };
        for news in reached {
            if expired(restrained_until, last_write, news.at) {
                failures.clear();
                restrained_until = None;
            }
            last_write = last_write.max(news.at);
            match news.news {
                News::Succeeded => {
                    failures.clear();
                    restrained_until = None;
                }
                News::Tried => restrained_until = Some(news.at + RECOVERY_DELAY),
                News::Failed => {
                    failures.push(news.at);
                    failures.retain(|at| news.at.saturating_sub(*at) <= WINDOW);
                    if restrained_until.is_some() || failures.len() >= THRESHOLD {
                        restrained_until = restrained_until.max(Some(news.at + RECOVERY_DELAY));
                    }
                }
            }
        }
        match restrained_until {
            Some(_) if expired(restrained_until, last_write, now) => CircuitAdmission::Send,
            Some(until) if now < until => CircuitAdmission::Hold,
            Some(_) => CircuitAdmission::Trial,
            None => CircuitAdmission::Send,
        }
    }

    /// A attempt is about to leave as a trial.
    pub fn tried(&mut self, target: EndpointId, now: Duration, member: usize) {
        self.tell(target, now, member, News::Tried);
    }

    /// A attempt has ended at one member.
    pub fn ended(&mut self, target: EndpointId, now: Duration, member: usize, outcome: AttemptOutcome) {
        match outcome {
            AttemptOutcome::Completed => self.tell(target, now, member, News::Succeeded),
            AttemptOutcome::Error
            | AttemptOutcome::TimedOut
            | AttemptOutcome::ConnectionReset
            | AttemptOutcome::NoConnection => {
                self.tell(target, now, member, News::Failed);
            }
            AttemptOutcome::Rejected { .. }
            | AttemptOutcome::Cancelled
            | AttemptOutcome::NotSent
            | AttemptOutcome::Malformed => {}
        }
    }
}

/// An exchange that the forwarders of one run hold together.
pub type SharedExchange = Arc<Mutex<CircuitExchange>>;

/// Opens a forwarder whose circuits are fed by an exchange; by one of its own it knows only what it saw itself.
pub fn circuit(exchange: &SharedExchange, terms: Settings, _host: &mut dyn PolicyHost) -> Box<dyn Policy> {
    let member = exchange.lock().unwrap_or_else(PoisonError::into_inner).join();
    Box::new(BaselineHost::open(terms, FedCircuit { exchange: exchange.clone(), member }))
}

struct FedCircuit {
    exchange: SharedExchange,
    member: usize,
}

impl BaselinePolicy for FedCircuit {
    fn pick(&mut self, _: &QueuedMessage, view: &View, chance: &mut Chance) -> Option<EndpointId> {
        let mut exchange = self.exchange.lock().unwrap_or_else(PoisonError::into_inner);
        let leave = |t: &EndpointId| exchange.leave(*t, view.now, self.member);
        let open: Vec<EndpointId> =
            view.able.iter().filter(|t| leave(t) == CircuitAdmission::Send).copied().collect();
        if !open.is_empty() {
            return Some(open[chance.random_range(0..open.len())]);
        }
        let trial = view.able.iter().find(|t| leave(t) == CircuitAdmission::Trial).copied()?;
        exchange.tried(trial, view.now, self.member);
        Some(trial)
    }

    fn ended(&mut self, target: EndpointId, outcome: AttemptOutcome, now: Duration) {
        let mut exchange = self.exchange.lock().unwrap_or_else(PoisonError::into_inner);
        exchange.ended(target, now, self.member, outcome);
    }

    fn again(
        &mut self,
        envelope: &QueuedMessage,
        _: AttemptOutcome,
        chance: &mut Chance,
    ) -> Option<Duration> {
        Some(back_off(envelope.dispatches, chance))
    }

    fn looks_every(&self) -> Duration {
        LOOK
    }
}
