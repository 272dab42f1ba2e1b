//! Plays the steps of a stream: time goes on, events come in a drawn order, and the delivery policy takes its turn.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use reeddock::{
    AttemptNumber, AttemptOutcome, AttemptTimeouts, DestinationId, EndpointId, EndpointUpdate, LoadReport,
    MessageId, OrderingKey, PeerId, PolicyHost, PreviousAttempt, RequestId,
};

use super::listing::{wait, Endpoints, Line};
use super::model::{Model, Violation};
use super::setting::{millis, rounded, Setting, KEYS};
use crate::recording::Tape;
use crate::tee::{RecordedPolicy, Submission};

/// A wake comes late by no more than a host's timer is, and may come this early, as timers round down.
const EARLY: Duration = Duration::from_micros(600);
const HOUR: Duration = Duration::from_secs(3_600);
/// Added to some limits: the delivery policy answers so long before one, and that is to meet other deadlines.
const MOMENT: Duration = Duration::from_millis(10);
/// Most lines of a list that are told in one step, where it is told in pieces.
const PIECE: usize = 40;

/// What the delivery policy asked for, for the player to act upon.
enum Asked {
    Attempt(MessageId, EndpointId, AttemptTimeouts),
    CallOff(MessageId, AttemptNumber),
    Shed(MessageId),
    BreakOff(MessageId),
    Wake(Duration),
    Subscribe,
}

#[derive(Default)]
struct Requests(Vec<Asked>);

impl PolicyHost for Requests {
    fn start_attempt(&mut self, message: &MessageId, endpoint: EndpointId, spans: AttemptTimeouts) {
        self.0.push(Asked::Attempt(message.clone(), endpoint, spans));
    }
    fn cancel(&mut self, message: &MessageId, dispatch: AttemptNumber) {
        self.0.push(Asked::CallOff(message.clone(), dispatch));
    }
    fn reject(&mut self, message: &MessageId, _: Option<Duration>) {
        self.0.push(Asked::Shed(message.clone()));
    }
    fn fail(&mut self, message: &MessageId) {
        self.0.push(Asked::BreakOff(message.clone()));
    }
    fn set_timer(&mut self, after: Duration) {
        self.0.push(Asked::Wake(after));
    }
    fn start_health_check(&mut self, _: EndpointId) {}
    fn send_gossip(&mut self, _: Option<PeerId>, _: &[u8]) {}
    fn subscribe(&mut self, _: bool) {
        self.0.push(Asked::Subscribe);
    }
    fn fetch_endpoint_list(&mut self) {}
    fn log(&mut self, _: &str) {}
}

/// An attempt that has no outcome yet.
struct Out {
    id: MessageId,
    no: AttemptNumber,
    endpoint: EndpointId,
    call: RequestId,
    due: Duration,
    outcome: AttemptOutcome,
}

/// A list that is being told in pieces.
struct Telling {
    lines: VecDeque<(EndpointId, Line)>,
    /// The connection is lost before its end.
    breaks: bool,
}

pub struct Player {
    chance: Pcg32,
    setting: Setting,
    now: Duration,
    module: RecordedPolicy,
    model: Model,
    requests: Requests,
    endpoints: Endpoints,
    telling: Option<Telling>,
    /// When discovery is expected to answer a call for the list.
    list_due: Option<Duration>,
    /// Messages without a final answer, with the attempts made for each.
    open: BTreeMap<MessageId, u32>,
    /// In the order in which they were sent.
    out: Vec<Out>,
    alarms: BTreeSet<Duration>,
    handed_in: u64,
}

impl Player {
    pub fn open(seed: u64, tape: Tape) -> Player {
        let mut chance = Pcg32::seed_from_u64(seed);
        let (setting, terms) = Setting::draw(&mut chance);
        let endpoints = Endpoints::draw(&setting, &mut chance);
        let mut requests = Requests::default();
        let now = if chance.random_bool(0.3) { Duration::ZERO } else { millis(&mut chance, 1, 100_000) };
        let module = RecordedPolicy::new(now, terms, tape, &mut requests);
        let model = Model::new(setting.rules(), now);
        let mut player = Player {
            chance,
            setting,
            now,
            module,
            model,
            requests,
            endpoints,
            telling: None,
            list_due: None,
            open: BTreeMap::new(),
            out: Vec::new(),
            alarms: BTreeSet::new(),
            handed_in: 0,
        };
        player.carry_out();
        player
    }

    pub fn play(mut self, most_steps: usize) -> Vec<Violation> {
        let steps = self.setting.steps;
        // The list may come after the first messages.
        let list_at = if self.one_in(4) { self.below(12) } else { 0 };
        let leaves_at = if self.one_in(6) { steps * 3 / 4 } else { usize::MAX };
        for step in 0..steps.min(most_steps) {
            if step == list_at {
                self.begin_list(true, false);
            }
            if step == 1 && self.one_in(2) {
                self.recall_some();
            }
            if step == leaves_at {
                let by = self.now + millis(&mut self.chance, 0, 20_000);
                self.module.begin_shutdown(by);
                self.model.leaving(by);
            }
            self.step();
        }
        self.model.violations
    }

    // # Chance.

    fn one_in(&mut self, cases: u32) -> bool {
        self.chance.random_ratio(1, cases)
    }

    fn below(&mut self, end: usize) -> usize {
        self.chance.random_range(0..end.max(1))
    }

    // # Steps.

    fn step(&mut self) {
        self.pass_time();
        self.sound_alarms();
        self.settle_due();
        self.speak_of_waits();
        self.tell_list();
        self.hand_in_some();
        self.withdraw_some();
        if self.one_in(8) {
            self.endpoints.change_moods(&mut self.chance);
        }
        self.ask_module();
        self.module.run_due_work(self.now, &mut self.requests);
        self.carry_out();
        self.model.turned(&self.alarms);
    }

    fn pass_time(&mut self) {
        let drawn = match self.chance.random_range(0..1_000_u32) {
            0..=149 => Duration::ZERO,
            150..=919 => self.setting.longest_step.mul_f64(self.chance.random_range(0.0..1.0)),
            920..=996 => millis(&mut self.chance, 1_000, 8_000),
            _ => HOUR,
        };
        let to = self.now + rounded(drawn, self.setting.grain);
        // A machine that stood still misses its alarms; any other wakes at the first of them.
        let first = self.alarms.first().copied().filter(|_| drawn < HOUR);
        let early = if self.one_in(4) { EARLY } else { Duration::ZERO };
        let wakes = first.map(|at| at.saturating_sub(early).max(self.now));
        self.now = wakes.map_or(to, |at| at.min(to));
        self.model.time(self.now);
    }

    fn sound_alarms(&mut self) {
        while let Some(at) = self.alarms.first().copied().filter(|at| *at <= self.now + EARLY) {
            self.alarms.remove(&at);
            self.module.timer_fired(self.now);
        }
    }

    // # Outcomes.

    fn settle_due(&mut self) {
        let (mut due, out): (Vec<Out>, Vec<Out>) =
            std::mem::take(&mut self.out).into_iter().partition(|o| o.due <= self.now);
        self.out = out;
        due.sort_by_key(|o| o.due);
        for ended in due {
            self.settle(ended);
        }
    }

    fn settle(&mut self, ended: Out) {
        let answered = matches!(
            ended.outcome,
            AttemptOutcome::Completed | AttemptOutcome::Error | AttemptOutcome::Rejected { .. }
        );
        if answered && (self.setting.responses_carry_load_reports || self.one_in(20)) {
            self.report(ended.endpoint);
        }
        let over = ended.outcome == AttemptOutcome::Completed || !self.open.contains_key(&ended.id);
        if over {
            self.open.remove(&ended.id);
        }
        if self.one_in(10) {
            self.module.note_sent_to(&ended.id, ended.no);
        }
        self.model.attempt_finished(&ended.id, ended.no, ended.outcome, over);
        self.module.attempt_finished(self.now, &ended.id, ended.no, ended.outcome, over, &mut self.requests);
        self.carry_out();
        if self.one_in(200) {
            // Told twice, as a host might in a race.
            self.module.attempt_finished(
                self.now,
                &ended.id,
                ended.no,
                ended.outcome,
                true,
                &mut self.requests,
            );
            self.carry_out();
        }
    }

    fn report(&mut self, endpoint: EndpointId) {
        let left = self.chance.random_range(0.0..1.1);
        let limit = if self.one_in(5) { 0.0 } else { self.chance.random_range(0.5..80.0) };
        if let Some(report) = LoadReport::new(Some(left), Some(limit)) {
            self.module.load_reported(endpoint, report);
        }
    }

    /// An answer that refused nothing asks for a wait all the same.
    fn speak_of_waits(&mut self) {
        if !self.one_in(25) {
            return;
        }
        let Some(endpoint) = self.endpoints.any(&mut self.chance) else { return };
        let wait = wait(&mut self.chance, self.setting.grain);
        self.model.retry_after_received(endpoint, wait);
        self.module.retry_after_received(self.now, endpoint, wait);
        self.module.note_waits_with(endpoint);
    }

    // # The list.

    fn tell_list(&mut self) {
        if self.telling.is_some() {
            self.tell_piece();
            return;
        }
        if self.list_due.take_if(|at| *at <= self.now).is_some() {
            if self.one_in(3) {
                self.module.discovery_failed(self.now);
            } else {
                self.begin_list(true, false);
            }
            return;
        }
        match self.below(100) {
            0..=4 => self.begin_list(false, false),
            5 => self.begin_list(true, false),
            6 => {
                self.endpoints.drop_most(&mut self.chance);
                self.begin_list(true, false);
                // What was lost is made up for, partly, by the next list.
                let added = self.below(self.setting.endpoints as usize + 1);
                for _ in 0..added {
                    self.endpoints.add(&self.setting, &mut self.chance);
                }
            }
            7..=8 => {
                let whole = self.one_in(2);
                self.begin_list(whole, true);
            }
            9 => self.module.discovery_failed(self.now),
            _ => {}
        }
    }

    fn begin_list(&mut self, whole: bool, breaks: bool) {
        if self.telling.take().is_some() {
            self.break_list();
        }
        let mut lines: VecDeque<(EndpointId, Line)> = if whole {
            self.endpoints.lines.iter().map(|(id, line)| (*id, line.clone())).collect()
        } else {
            let count = 1 + self.below(4);
            let changed: Vec<EndpointId> =
                (0..count).map(|_| self.endpoints.change(&self.setting, &mut self.chance)).collect();
            changed.into_iter().map(|id| (id, self.endpoints.lines[&id].clone())).collect()
        };
        if breaks {
            let told = self.below(lines.len());
            lines.truncate(told);
        }
        self.model.begin_endpoint_list(whole);
        self.module.begin_endpoint_list(whole);
        self.telling = Some(Telling { lines, breaks });
        if !self.one_in(4) {
            self.tell_rest();
        }
    }

    /// One piece of the list that is being told, and its end if that was the last one.
    fn tell_piece(&mut self) {
        let count = self.below(PIECE);
        self.tell_lines(count);
        if self.telling.as_ref().is_some_and(|t| t.lines.is_empty()) {
            self.end_list();
        }
    }

    fn tell_rest(&mut self) {
        self.tell_lines(usize::MAX);
        self.end_list();
    }

    fn tell_lines(&mut self, most: usize) {
        let Some(telling) = &mut self.telling else { return };
        let count = telling.lines.len().min(most);
        for (endpoint, line) in telling.lines.drain(..count) {
            let listing = EndpointUpdate {
                endpoint,
                destination: line.destination,
                state: line.state,
                weight: line.weight,
                zone: line.zone,
                kind: &line.kind,
            };
            self.model.listed(&listing);
            self.module.update_endpoint(listing);
        }
    }

    fn end_list(&mut self) {
        match self.telling.take() {
            Some(told) if told.breaks => self.break_list(),
            Some(_) => {
                self.model.finish_endpoint_list();
                self.module.finish_endpoint_list();
            }
            None => {}
        }
    }

    fn break_list(&mut self) {
        self.model.abort_endpoint_list();
        self.module.abort_endpoint_list();
    }

    // # Messages.

    fn hand_in_some(&mut self) {
        let burst = self.setting.burst as usize;
        let count = match self.below(100) {
            0..=39 => 0,
            40..=94 => self.below(burst + 1),
            _ => self.below(burst * 12),
        };
        // A burst is for one destination.
        let together = self.any_destination();
        for _ in 0..count {
            let destination = if count > burst { together } else { self.any_destination() };
            let message = self.message(destination);
            self.submit(&message);
        }
    }

    /// One that most messages are for, or any; seldom one that no list names.
    fn any_destination(&mut self) -> DestinationId {
        let all = self.setting.destinations as usize;
        let number = match self.below(20) {
            0 => all + self.below(2),
            1..=8 => 0,
            _ => self.below(all),
        };
        DestinationId(number as u64 + 1)
    }

    fn message(&mut self, destination: DestinationId) -> Submission {
        self.handed_in += 1;
        let number = self.below(self.setting.classes.len());
        let class = &self.setting.classes[number];
        let (name, deadline, ordered) = (class.name.clone(), class.deadline, class.ordered);
        let strange = self.setting.strange_names && self.one_in(20);
        // A client's repeat shares the limit of its first submission.
        let gone = if self.one_in(5) {
            deadline.mul_f64(self.chance.random_range(0.0..1.0))
        } else {
            Duration::ZERO
        };
        let odd = if self.one_in(4) { MOMENT } else { Duration::ZERO };
        let tenant = self.below(self.setting.tenants.len() + 1);
        Submission {
            id: MessageId(Arc::from(format!("e{:06}", self.handed_in))),
            class: if strange { "unknown".to_owned() } else { name },
            tenant: self.setting.tenants.get(tenant).cloned(),
            key: (ordered || self.one_in(10)).then(|| OrderingKey(self.chance.random_range(0..KEYS))),
            deadline: self.now + (deadline - gone) + odd,
            destination,
        }
    }

    fn submit(&mut self, message: &Submission) {
        if self.one_in(20) {
            self.module.note_knows(message.destination);
        }
        self.open.insert(message.id.clone(), 0);
        self.model.submit(message);
        self.module.submit(self.now, message, &mut self.requests);
        self.carry_out();
    }

    /// What a ledger kept from before this start.
    fn recall_some(&mut self) {
        let count = self.below(12);
        for _ in 0..count {
            let destination = self.any_destination();
            let message = self.message(destination);
            self.submit(&message);
            if !self.open.contains_key(&message.id) {
                continue;
            }
            let past = self.past();
            self.open.insert(message.id.clone(), past.len() as u32);
            self.model.restore(&message.id, &past);
            self.module.restore(self.now, &message.id, &past, &mut self.requests);
            self.carry_out();
        }
    }

    fn past(&mut self) -> Vec<PreviousAttempt> {
        let count = self.below(4);
        let mut past = Vec::new();
        for _ in 0..count {
            let ago = millis(&mut self.chance, 0, 6_000);
            past.push(PreviousAttempt {
                endpoint: self.endpoints.any(&mut self.chance).unwrap_or(EndpointId(0)),
                started_at: self.now.saturating_sub(ago),
                proves_not_executed: self.one_in(2),
            });
        }
        past
    }

    fn withdraw_some(&mut self) {
        if self.open.is_empty() || !self.one_in(12) {
            return;
        }
        let at = self.below(self.open.len());
        let Some(id) = self.open.keys().nth(at).cloned() else { return };
        self.open.remove(&id);
        self.model.withdraw(&id);
        self.module.withdraw(&id, &mut self.requests);
        self.carry_out();
    }

    /// What a host may tell or ask at any time.
    fn ask_module(&mut self) {
        match self.below(60) {
            0 => {
                let well = self.one_in(2);
                if let Some(endpoint) = self.endpoints.any(&mut self.chance) {
                    self.module.health_checked(self.now, endpoint, well);
                }
            }
            1 => self.module.gossip_received(self.now, PeerId(1), b"note"),
            _ => {}
        }
    }

    // # What the delivery policy asked for.

    fn carry_out(&mut self) {
        for asked in std::mem::take(&mut self.requests.0) {
            match asked {
                Asked::Attempt(id, endpoint, spans) => self.send(id, endpoint, spans),
                Asked::CallOff(id, no) => self.cancel(&id, no),
                Asked::Shed(id) => {
                    self.model.shed(&id);
                    self.open.remove(&id);
                }
                Asked::BreakOff(id) => {
                    self.model.broken_off(&id);
                    self.open.remove(&id);
                }
                Asked::Wake(after) => drop(self.alarms.insert(self.now + after)),
                Asked::Subscribe => {
                    let due = self.now + millis(&mut self.chance, 1, 2_000);
                    self.list_due = Some(due);
                }
            }
        }
    }

    fn send(&mut self, id: MessageId, endpoint: EndpointId, spans: AttemptTimeouts) {
        self.model.dispatched(&id, endpoint, spans);
        let Some(attempts) = self.open.get_mut(&id) else { return };
        let no = AttemptNumber(*attempts);
        *attempts += 1;
        let (outcome, after) =
            self.endpoints.answer(endpoint, spans.response_within, &self.setting, &mut self.chance);
        let mut due = self.now + after;
        let mut ends_as = outcome;
        // What travels together mostly ends together.
        let companion = self.out.iter().rfind(|o| o.call == spans.request);
        if let Some((companion_due, companion_outcome)) = companion.map(|c| (c.due, c.outcome)) {
            if !self.one_in(6) {
                (due, ends_as) = (companion_due, companion_outcome);
            }
        }
        self.out.push(Out { id, no, endpoint, call: spans.request, due, outcome: ends_as });
    }

    /// Ends shortly after, unless its answer is on its way.
    fn cancel(&mut self, id: &MessageId, no: AttemptNumber) {
        self.model.called_off(id, no);
        let late = self.one_in(10);
        let due = self.now + millis(&mut self.chance, 0, 5);
        let Some(out) = self.out.iter_mut().find(|o| o.id == *id && o.no == no) else { return };
        out.due = due;
        if !late {
            out.outcome = AttemptOutcome::Cancelled;
        }
    }
}
