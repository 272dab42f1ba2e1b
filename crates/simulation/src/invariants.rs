//! The six rules, each watched by itself and written from the rules: nothing here asks the delivery policy, and what
//! the delivery policy believes of a message is not read. A broken rule names the message, the instant and what
//! led to it.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

use reeddock::{AttemptOutcome, EndpointState, Idempotency};
use serde::{Deserialize, Serialize};

use crate::layout::{EndpointIndex, ForwarderIndex};

/// One hand-in to one forwarder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MessageIndex(pub usize);

/// What a client wants delivered; its returns after a shed are further messages of one first try.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SubmissionIndex(pub usize);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// The host's interface was used in a way that makes no sense, such as an unknown message.
    Interface,
    OneAnswer,
    NoDoubleEffect,
    Drains,
    NotPushedOver,
    Order,
    Waits,
}

impl Rule {
    pub fn number(self) -> u8 {
        self as u8
    }
}

/// The final answer that a message got.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Answer {
    Completed,
    Shed,
    BrokenOff,
    /// The client went, or was told nothing in time; nothing more is owed.
    Withdrawn,
}

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Broken {
    pub rule: Rule,
    /// Seconds since the start.
    pub at_s: f64,
    pub forwarder: Option<usize>,
    pub envelope: Option<usize>,
    pub what: String,
    /// What led to it, oldest first.
    pub led_by: Vec<String>,
}

impl fmt::Display for Broken {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        write!(to, "rule {} ({:?}) at {:.6} s", self.rule.number(), self.rule, self.at_s)?;
        if let Some(f) = self.forwarder {
            write!(to, ", forwarder {f}")?;
        }
        if let Some(e) = self.envelope {
            write!(to, ", envelope {e}")?;
        }
        write!(to, ": {}", self.what)?;
        self.led_by.iter().try_for_each(|line| write!(to, "\n    {line}"))
    }
}

struct Sent {
    at: Duration,
    target: EndpointIndex,
    ended: Option<(AttemptOutcome, Duration)>,
}

impl Sent {
    /// Known by now to have had no effect.
    fn proved_unrun(&self) -> bool {
        self.ended.is_some_and(|(outcome, _)| proves_unrun(outcome))
    }
}

/// Ends that prove that nothing ran, as the rules have it; kept apart from the delivery policy's own list.
pub fn proves_unrun(outcome: AttemptOutcome) -> bool {
    match outcome {
        AttemptOutcome::Rejected { .. }
        | AttemptOutcome::NoConnection
        | AttemptOutcome::NotSent
        | AttemptOutcome::Malformed => true,
        AttemptOutcome::Completed
        | AttemptOutcome::Error
        | AttemptOutcome::TimedOut
        | AttemptOutcome::ConnectionReset
        | AttemptOutcome::Cancelled => false,
    }
}

struct Record {
    first_try: SubmissionIndex,
    forwarder: ForwarderIndex,
    category: usize,
    key: Option<u64>,
    taken: Duration,
    answer_by: Duration,
    answer: Option<(Answer, Duration)>,
    /// Its forwarder was killed and keeps no ledger.
    void: bool,
    sent: Vec<Sent>,
}

/// What a wait or an outage holds for: a destination, or an endpoint where endpoints are routes apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Place {
    Destination(usize),
    Target(EndpointIndex),
}

/// Effect and whether keys are kept in order, for each category.
pub struct CategoryRules {
    pub effect: Idempotency,
    pub ordered: bool,
}

pub struct InvariantChecker {
    categories: Vec<CategoryRules>,
    drain_grace: Duration,
    key_rest: Duration,
    slack: Duration,
    records: Vec<Record>,
    lists: Vec<BTreeMap<EndpointIndex, (EndpointState, Duration)>>,
    waits: BTreeMap<(ForwarderIndex, Place), Duration>,
    lines: BTreeMap<(ForwarderIndex, u64), Vec<MessageIndex>>,
    /// Forwarders that were told of a failed or refused call during the outage that stands, or stood last.
    saw: BTreeMap<EndpointIndex, BTreeSet<ForwarderIndex>>,
    effects: BTreeMap<SubmissionIndex, u32>,
    broken: Vec<Broken>,
    count: usize,
}

/// So many are told in full; the others are counted.
const TOLD_IN_FULL: usize = 20;

impl InvariantChecker {
    pub fn new(
        categories: Vec<CategoryRules>,
        forwarders: usize,
        drain_grace: Duration,
        key_rest: Duration,
        slack: Duration,
    ) -> InvariantChecker {
        InvariantChecker {
            categories,
            drain_grace,
            key_rest,
            slack,
            records: Vec::new(),
            lists: vec![BTreeMap::new(); forwarders],
            waits: BTreeMap::new(),
            lines: BTreeMap::new(),
            saw: BTreeMap::new(),
            effects: BTreeMap::new(),
            broken: Vec::new(),
            count: 0,
        }
    }

    /// How many rules were broken, and the first of them in full.
    pub fn verdict(self) -> (usize, Vec<Broken>) {
        (self.count, self.broken)
    }

    pub fn fault(&mut self, rule: Rule, at: Duration, envelope: Option<MessageIndex>, what: String) {
        self.count += 1;
        if self.broken.len() >= TOLD_IN_FULL {
            return;
        }
        let record = envelope.and_then(|e| self.records.get(e.0));
        self.broken.push(Broken {
            rule,
            at_s: at.as_secs_f64(),
            forwarder: record.map(|r| r.forwarder.0),
            envelope: envelope.map(|e| e.0),
            what,
            led_by: record.map(Record::story).unwrap_or_default(),
        });
    }

    // What the world tells.

    #[allow(clippy::too_many_arguments)]
    pub fn taken(
        &mut self,
        now: Duration,
        envelope: MessageIndex,
        first_try: SubmissionIndex,
        forwarder: ForwarderIndex,
        category: usize,
        key: Option<u64>,
        outer_limit: Duration,
    ) {
        debug_assert_eq!(envelope.0, self.records.len());
        let key = key.filter(|_| self.categories[category].ordered);
        if let Some(key) = key {
            self.lines.entry((forwarder, key)).or_default().push(envelope);
        }
        let answer_by = outer_limit + self.slack;
        self.records.push(Record {
            first_try,
            forwarder,
            category,
            key,
            taken: now,
            answer_by,
            answer: None,
            void: false,
            sent: Vec::new(),
        });
    }

    pub fn dispatched(
        &mut self,
        now: Duration,
        envelope: MessageIndex,
        target: EndpointIndex,
        places: [Place; 2],
    ) {
        let record = &self.records[envelope.0];
        let (forwarder, key) = (record.forwarder, record.key);
        let mut faults: Vec<(Rule, String)> = Vec::new();
        if let Some((answer, at)) = record.answer {
            let at = at.as_secs_f64();
            faults
                .push((Rule::OneAnswer, format!("sent to target {} after {answer:?} at {at:.6}", target.0)));
        }
        let unsure: Vec<&Sent> = record.sent.iter().filter(|s| !s.proved_unrun()).collect();
        if let Some(first) = unsure.iter().map(|s| s.at).min() {
            match self.categories[record.category].effect {
                Idempotency::Idempotent => {}
                Idempotency::NonIdempotent => {
                    faults
                        .push((Rule::NoDoubleEffect, "effectful, sent again though it may have run".into()));
                }
                Idempotency::WithKey { window, .. } if now >= first + window => {
                    faults.push((Rule::NoDoubleEffect, "receipted, sent again after its window".into()));
                }
                Idempotency::WithKey { .. } => {}
            }
        }
        match self.lists[forwarder.0].get(&target) {
            None => faults.push((Rule::Drains, format!("target {} was in none of its lists", target.0))),
            Some((EndpointState::Active, _)) => {}
            Some((standing, since)) if now > *since + self.drain_grace => {
                let since = since.as_secs_f64();
                let what = format!("target {} is {standing:?}, told at {since:.6}", target.0);
                faults.push((Rule::Drains, what));
            }
            Some(_) => {}
        }
        for place in places {
            if let Some(until) = self.waits.get(&(forwarder, place)).filter(|until| now < **until) {
                let until = until.as_secs_f64();
                faults.push((Rule::Waits, format!("{place:?} asked it to wait until {until:.6}")));
            }
        }
        if let Some(blocker) = key.and_then(|key| self.before_it(now, forwarder, key, envelope)) {
            faults.push((Rule::Order, blocker));
        }
        for (rule, what) in faults {
            self.fault(rule, now, Some(envelope), what);
        }
        self.records[envelope.0].sent.push(Sent { at: now, target, ended: None });
    }

    /// What stands in the way of a message in the line of its key, and drops from the line what no longer
    /// matters.
    fn before_it(
        &mut self,
        now: Duration,
        forwarder: ForwarderIndex,
        key: u64,
        envelope: MessageIndex,
    ) -> Option<String> {
        let (records, key_rest) = (&self.records, self.key_rest);
        let line = self.lines.get_mut(&(forwarder, key))?;
        let rests = |record: &Record| {
            let ends = record.sent.iter().filter_map(|s| s.ended);
            let unsure = |o| {
                matches!(
                    o,
                    AttemptOutcome::TimedOut | AttemptOutcome::ConnectionReset | AttemptOutcome::Cancelled
                )
            };
            ends.filter(|(o, _)| unsure(*o)).map(|(_, at)| at + key_rest).max().unwrap_or_default()
        };
        let done = |r: &Record| (r.answer.is_some() || r.void) && r.sent.iter().all(|s| s.ended.is_some());
        line.retain(|e| *e == envelope || !done(&records[e.0]) || now < rests(&records[e.0]));
        let earlier: Vec<MessageIndex> = line.iter().take_while(|e| **e != envelope).copied().collect();
        let open = earlier.iter().find(|e| !done(&records[e.0]));
        if let Some(e) = open {
            return Some(format!("envelope {} of key {key} was taken before and is not over", e.0));
        }
        let resting = line.iter().filter(|e| **e != envelope).find(|e| now < rests(&records[e.0]));
        resting.map(|e| {
            let until = rests(&records[e.0]).as_secs_f64();
            format!("key {key} rests until {until:.6} after an unsure end of envelope {}", e.0)
        })
    }

    /// A attempt has ended, and the forwarder is told now.
    pub fn told_end(
        &mut self,
        now: Duration,
        envelope: MessageIndex,
        no: usize,
        outcome: AttemptOutcome,
        place: Place,
    ) {
        let record = &mut self.records[envelope.0];
        if let Some(sent) = record.sent.get_mut(no) {
            sent.ended = Some((outcome, now));
        }
        if let AttemptOutcome::Rejected { retry_after: Some(wait) } = outcome {
            let until = self.waits.entry((record.forwarder, place)).or_default();
            *until = (*until).max(now + wait);
        }
    }

    pub fn answered(&mut self, now: Duration, envelope: MessageIndex, answer: Answer) {
        let record = &self.records[envelope.0];
        if let Some((before, at)) = record.answer {
            // A withdrawal ends what is owed, and crosses an answer without harm.
            if answer != Answer::Withdrawn && before != Answer::Withdrawn {
                let what = format!("{answer:?} after {before:?} at {:.6}", at.as_secs_f64());
                self.fault(Rule::OneAnswer, now, Some(envelope), what);
            }
            return;
        }
        if now > record.answer_by && answer != Answer::Withdrawn {
            let what = format!("{answer:?}, due by {:.6}", record.answer_by.as_secs_f64());
            self.fault(Rule::OneAnswer, now, Some(envelope), what);
        }
        let record = &self.records[envelope.0];
        if answer == Answer::Shed {
            let unsure = record.sent.iter().filter(|s| !s.proved_unrun()).map(|s| s.at).min();
            let harmful = match (self.categories[record.category].effect, unsure) {
                (_, None) | (Idempotency::Idempotent, _) => None,
                (Idempotency::NonIdempotent, Some(_)) => Some("effectful, shed though it may have run"),
                (Idempotency::WithKey { window, .. }, Some(first)) => (now >= first + window)
                    .then_some("receipted, shed after its window though it may have run"),
            };
            if let Some(what) = harmful {
                self.fault(Rule::NoDoubleEffect, now, Some(envelope), what.to_owned());
            }
        }
        self.records[envelope.0].answer = Some((answer, now));
    }

    /// The time for a final answer is past. Says whether one is missing.
    pub fn overdue(&mut self, now: Duration, envelope: MessageIndex) -> bool {
        let record = &self.records[envelope.0];
        if record.answer.is_some() || record.void || now < record.answer_by {
            return false;
        }
        let what = format!("no final answer by {:.6}", record.answer_by.as_secs_f64());
        self.fault(Rule::OneAnswer, now, Some(envelope), what);
        true
    }

    /// An effect was applied at a destination.
    pub fn applied(&mut self, now: Duration, envelope: MessageIndex) {
        let record = &self.records[envelope.0];
        if self.categories[record.category].effect != Idempotency::NonIdempotent {
            return;
        }
        let times = self.effects.entry(record.first_try).or_default();
        *times += 1;
        if *times > 1 {
            let what = format!("the destination applied first try {} a second time", record.first_try.0);
            self.fault(Rule::NoDoubleEffect, now, Some(envelope), what);
        }
    }

    pub fn listed(
        &mut self,
        now: Duration,
        forwarder: ForwarderIndex,
        target: EndpointIndex,
        standing: EndpointState,
    ) {
        let entry = self.lists[forwarder.0].entry(target).or_insert((standing, now));
        // Told again of what it knew, its grace runs from the first time.
        if entry.0 != standing && (standing == EndpointState::Active || entry.0 == EndpointState::Active) {
            *entry = (standing, now);
        }
        entry.0 = standing;
    }

    pub fn outage_begins(&mut self, target: EndpointIndex) {
        self.saw.remove(&target);
    }

    /// The forwarder was told of a failed or refused call to an endpoint during its outage.
    pub fn saw_trouble(&mut self, forwarder: ForwarderIndex, target: EndpointIndex) {
        self.saw.entry(target).or_default().insert(forwarder);
    }

    /// Whether a forwarder was told of the outage that stands at an endpoint, or stood last.
    pub fn knows_of_outage(&self, forwarder: ForwarderIndex, target: EndpointIndex) -> bool {
        self.saw.get(&target).is_some_and(|saw| saw.contains(&forwarder))
    }

    /// Whether any forwarder was told of it.
    pub fn outage_is_known(&self, target: EndpointIndex) -> bool {
        self.saw.get(&target).is_some_and(|saw| !saw.is_empty())
    }

    /// A cold endpoint fell over; this is the work that it was sent in the span that counts. The rule is broken where
    /// over two thirds of it came from forwarders that had been told of the outage.
    pub fn fell(
        &mut self,
        now: Duration,
        target: EndpointIndex,
        pushed: &[(Duration, f64, ForwarderIndex)],
        budget: f64,
    ) {
        let saw = self.saw.get(&target);
        let knew = |f: &ForwarderIndex| saw.is_some_and(|s| s.contains(f));
        let all: f64 = pushed.iter().map(|p| p.1).sum();
        let known: f64 = pushed.iter().filter(|p| knew(&p.2)).map(|p| p.1).sum();
        if known * 3.0 <= all * 2.0 {
            return;
        }
        self.count += 1;
        if self.broken.len() >= TOLD_IN_FULL {
            return;
        }
        let by = |f: &ForwarderIndex| pushed.iter().filter(|p| p.2 == *f).map(|p| p.1).sum::<f64>();
        let senders: BTreeSet<ForwarderIndex> = pushed.iter().map(|p| p.2).collect();
        let mut senders: Vec<ForwarderIndex> = senders.into_iter().collect();
        senders.sort_by(|a, b| by(b).total_cmp(&by(a)).then(a.cmp(b)));
        let line = |f: &ForwarderIndex| {
            let told = if knew(f) { "had seen a failure there" } else { "had seen nothing" };
            format!("forwarder {}: {:.2} of work, {told}", f.0, by(f))
        };
        self.broken.push(Broken {
            rule: Rule::NotPushedOver,
            at_s: now.as_secs_f64(),
            forwarder: None,
            envelope: None,
            what: format!(
                "target {} fell over: sent {all:.2} against {budget:.2}, {known:.2} of it by forwarders that knew",
                target.0
            ),
            led_by: senders.iter().take(8).map(line).collect(),
        });
    }

    /// A forwarder was killed. What it held is void, or waits in its ledger for the next start.
    pub fn killed(&mut self, forwarder: ForwarderIndex, ledger: bool) {
        self.lists[forwarder.0].clear();
        self.waits.retain(|(f, _), _| *f != forwarder);
        let records = &mut self.records;
        for record in records.iter_mut().filter(|r| r.forwarder == forwarder) {
            record.void |= !ledger || record.answer.is_some();
        }
        // The rules bind a start to what it took on, and to what its ledger still holds.
        for (_, line) in self.lines.iter_mut().filter(|((f, _), _)| *f == forwarder) {
            line.retain(|e| !records[e.0].void);
        }
    }

    /// A message that a ledger kept is the forwarder's again; its time ran on meanwhile.
    pub fn recalled(&mut self, now: Duration, envelope: MessageIndex) {
        let slack = self.slack;
        let record = &mut self.records[envelope.0];
        record.answer_by = record.answer_by.max(now + slack);
        for sent in record.sent.iter_mut().filter(|s| s.ended.is_none()) {
            sent.ended = Some((AttemptOutcome::ConnectionReset, now));
        }
    }
}

impl Record {
    fn story(&self) -> Vec<String> {
        let mut lines = vec![(
            self.taken,
            format!("taken by forwarder {}, due by {:.6}", self.forwarder.0, self.answer_by.as_secs_f64()),
        )];
        for (no, sent) in self.sent.iter().enumerate() {
            lines.push((sent.at, format!("dispatch {no} to target {}", sent.target.0)));
            if let Some((outcome, at)) = sent.ended {
                lines.push((at, format!("dispatch {no} ended: {outcome:?}")));
            }
        }
        if let Some((answer, at)) = self.answer {
            lines.push((at, format!("answered: {answer:?}")));
        }
        lines.sort_by_key(|l| l.0);
        lines.into_iter().map(|(at, what)| format!("{:.6} s: {what}", at.as_secs_f64())).collect()
    }
}
