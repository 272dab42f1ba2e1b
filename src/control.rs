//! The policy of reeddock: every decision, derivation and tuned value.
//!
//! How it is invoked: a host makes one [`Forwarder`] for each instance with [`Forwarder::open`], tells it
//! what happens ([`Forwarder::hand_in`], [`Forwarder::settled`], [`Forwarder::listed`], ...) and, once all
//! that is known at a moment has been told, calls [`Forwarder::turn`]. What is decided goes out through the
//! trait [`Host`]; the interface is in `host.rs`, the plain state in `state.rs`.
//!
//! The argument from top to bottom: the rate card, the circuit of each route, the guards around it, choice of
//! target, taking turns, what follows an outcome, final answers, and what the host tells.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use itertools::Itertools;
use rand::{seq::IndexedRandom, RngExt, SeedableRng};
use rand_pcg::Pcg32;

use crate::backlog::{Class, Run};
use crate::envelopes::EnvelopeKey;
use crate::host::*;
use crate::state::*;
use crate::targets::Target;

/// Most failure times kept for a route.
const FAILURES_KEPT: usize = 5;
/// Failures within the window that restrain a route; measured at 2, 3 and 5.
const THRESHOLD: usize = 3;
/// Added to a record's life against clocks that are read at different moments.
const RECORD_MARGIN: Duration = Duration::from_secs(5);
/// What may be pushed, against the budget read from usual traffic. Over 1, as a destination is built for more
/// than its usual traffic. Measured at 0.75, 1.1 and 1.5: faster returns each time, no rule broken by it.
const PUSH_OF_USUAL: f64 = 1.5;
/// Weight of one more envelope within a call, against the call itself.
const PUSH_PER_EXTRA: f64 = 0.25;
/// Envelopes a second that the smallest destination is taken to be built for, where nothing else is known.
const LEAST_CAPACITY: f64 = 2.0;
/// Spacing of calls to a route that refuses them: grown by each refusal and shrunk by each answer.
const SPACING_GROWTH: f64 = 1.6;
const SPACING_SHRINK: f64 = 0.93;
/// The same shrinking where answers come once in seconds, and each tells as much as many do.
const SELDOM_SHRINK: f64 = 0.75;
/// The same growth for refusals that no limit explains: a full queue, or what is down and returns cold.
const OPAQUE_GROWTH: f64 = 4.0;
/// A refusal is a limit's where less of that was left. Reports are up to a second old.
const USED_UP: f64 = 0.5;
/// First spacing, in usual gaps between a forwarder's calls to the route.
const FIRST_GAP: f64 = 0.5;
/// Where forwarders are many, their turns at a route with a listed rate, in gaps between the calls that are
/// one's part of it. Under 1, as some turns stay unused.
const TURN: f64 = 0.8;
/// The part of a turn in which its call may begin, and its least in seconds: a host that takes its turns on a
/// coarse grid would meet short ones closed each time.
const TURN_OPEN: f64 = 0.3;
const TURN_OPEN_LEAST: f64 = 0.1;
/// In the same gaps, as the list may be half too high: first spacing after a refusal, and the widest.
const OVERLISTED: f64 = 1.5;
const WIDEST_GAPS: f64 = 8.0;
/// Weight of a new response time in the running mean.
const MEAN_STEP: f64 = 0.2;
/// A route is silent when no answer came for so many mean response times, and for so many more divided by the
/// calls that are out.
const OVERDUE_MEANS: f64 = 1.5;
const OVERDUE_SHARED: f64 = 4.0;
/// Further dispatches that a target has to its credit: at first with all forwarders together, at most with
/// one of them, and for each answer.
const EARNED_FIRST: f64 = 6.0;
const EARNED_MOST: f64 = 5.0;
const EARNED_PER_ANSWER: f64 = 0.25;
/// Time-outs in mean response times, of ordinary calls (measured at 8, 12, 16) and of trials; so many times
/// as long for effectful envelopes, and longer after time-outs in a row, so that a slow route is not cut off.
const TIME_OUT_MEANS: f64 = 12.0;
const TRIAL_MEANS: f64 = 4.0;
const EFFECTFUL_PATIENCE: f64 = 2.0;
const TIME_OUT_GROWTH: f64 = 1.5;

/// Part of its promise from which a line's wait weighs against its calls out. Symptom: slots are short, and a
/// long line gets no more than any other. A slow one does not get all, and others fill their calls meanwhile.
const LINE_WAITS: f64 = 0.1;
/// Shortest wake that is asked for.
pub(crate) const LEAST_WAKE: Duration = Duration::from_millis(1);
/// What was not used for so many times as long as any envelope lasts is forgotten.
const IDLE_KEPT: u32 = 10;
/// Least time in which an answer is still looked for.
const LAST_MOMENT: Duration = Duration::from_millis(10);
/// A log line at most so often.
const LOG_EVERY: Duration = Duration::from_secs(5);

// # The rate card: what the terms come down to.

impl RateCard {
    fn derive(terms: Terms) -> RateCard {
        let categories: Vec<CategoryRate> = terms
            .categories
            .into_iter()
            .map(|c| {
                let outer_limit = c.outer_limit.unwrap_or(Duration::from_secs(10));
                CategoryRate {
                    name: c.name,
                    // An effect that is not understood is treated as the one that allows least.
                    effect: c.effect.unwrap_or(Effect::Effectful),
                    promised: c.promised.unwrap_or(outer_limit).min(outer_limit),
                    outer_limit,
                    ordered: c.ordered,
                    credit: finite(c.credit, 1.0),
                    late_credit: finite(c.late_credit, 0.0).min(1.0),
                }
            })
            .collect();
        let shortest = categories.iter().map(|c| c.promised).min().unwrap_or(Duration::from_secs(2));
        // A trial that comes back within half the shortest promise still lets a held envelope keep it.
        let recovery_delay = (shortest / 2).max(Duration::from_millis(50));
        let window = recovery_delay * 10;
        RateCard {
            longest: categories.iter().map(|c| c.outer_limit).max().unwrap_or_default(),
            categories,
            kinds: terms
                .kinds
                .into_iter()
                .map(|(name, apart, batch)| (name, apart, batch.unwrap_or(1).clamp(1, 1000) as usize))
                .collect(),
            tenants: terms.tenants.into_iter().map(|(n, r)| (n, finite(r, f64::MAX))).collect(),
            zone: terms.zone,
            forwarders: terms.forwarders.unwrap_or(1).max(1) as f64,
            first_credit: (EARNED_FIRST / terms.forwarders.unwrap_or(1).max(1) as f64).min(EARNED_MOST),
            many: terms.forwarders.unwrap_or(1) > terms.slots.unwrap_or(u64::MAX),
            slots: terms.slots.unwrap_or(u64::MAX).min(1 << 20) as usize,
            room: terms.room.unwrap_or(u64::MAX).clamp(2, 1 << 30) as usize,
            copies: terms.may_duplicate,
            dispatch_cap: terms.dispatch_cap.unwrap_or(u64::MAX).min(1 << 20) as u32,
            come_back: terms.come_back,
            window,
            recovery_delay,
            cold_from: finite(terms.cold_from, 0.2).clamp(0.01, 1.0),
            warm_within: terms.warm_within.unwrap_or(Duration::from_secs(10)),
            fall_multiple: finite(terms.fall_multiple, 2.0).max(0.1),
            tip_after: terms.tip_after.unwrap_or(Duration::from_secs(2)),
            key_rest: terms.key_rest.unwrap_or_default(),
            ask_within: terms.ask_within,
            overlisted: match terms.weights {
                Weights::Untold => None,
                Weights::RoughRates => Some(OVERLISTED),
                Weights::Rates => Some(1.0),
            },
            answers_report: terms.answers_report,
            halving: terms.halving,
            over_share_credit: finite(terms.over_share_credit, 0.0).min(1.0),
            connection_idle: terms.connection_idle.unwrap_or_default(),
            cross_zone_price: finite(terms.cross_zone_price, 0.0),
            connection_price: finite(terms.connection_price, 0.0),
            zone_fees: terms.zone_fees,
        }
    }
}

// # The circuit, as the design page has it.

/// What a circuit says to a delivery.
#[derive(Debug, PartialEq)]
enum Leave {
    Send,
    Trial,
    /// Not before this time, and not before an event of the route; none: the latter alone.
    Hold(Option<Duration>),
    /// Not before this time as things stand, which may change by time alone.
    Pace(Option<Duration>),
}

impl Circuit {
    /// The design's question before each send. It changes nothing: the re-arming is in [`Circuit::re_arm`],
    /// as a trial that finds no envelope to carry it must not push the next one back.
    fn deliver(&self, now: Duration) -> Leave {
        match self.restrained_until {
            None => Leave::Send,
            Some(until) if now < until => Leave::Hold(Some(until)),
            // Ours: no new trial while one is out.
            Some(_) if self.trial.is_some() => Leave::Hold(None),
            Some(_) => Leave::Trial,
        }
    }

    fn re_arm(&mut self, now: Duration, recovery_delay: Duration) {
        self.restrained_until = Some(now + recovery_delay);
        self.last_write = now;
    }

    fn fail(&mut self, now: Duration, recovery_delay: Duration, card: &RateCard) {
        self.failures.push(now);
        self.failures.retain(|f| now.saturating_sub(*f) <= card.window);
        self.failures.drain(..self.failures.len().saturating_sub(FAILURES_KEPT));
        if self.restrained_until.is_some() || self.failures.len() >= THRESHOLD {
            // Never sooner than a wait that was told.
            self.restrained_until = self.restrained_until.max(Some(now + recovery_delay));
        }
        self.last_write = now;
    }

    fn success(&mut self, now: Duration) {
        if self.restrained_until.is_some() {
            // Ours: held envelopes rejoin one call out at a time.
            self.rejoin = Some(1);
        } else if let Some(calls) = self.rejoin {
            self.rejoin = Some(calls.saturating_mul(2));
        }
        self.failures.clear();
        self.restrained_until = None;
        self.last_write = now;
    }

    /// The design's expiry, derived: a record that can no longer matter is as good as none. With one recovery
    /// delay it is max(delay, window) + margin after the last write; a told wait may make that longer.
    fn expire(&mut self, now: Duration, card: &RateCard) {
        let matters = self.restrained_until.unwrap_or_default().max(self.last_write + card.window);
        if self.trial.is_none() && now > matters + RECORD_MARGIN {
            self.failures.clear();
            self.restrained_until = None;
        }
    }
}

// # Guards around the circuit.

impl Forwarder {
    /// Envelopes a second that this forwarder usually has for a target. All forwarders together have no more
    /// than the destination takes on a usual day, so that shares of it add up to shares of its capacity,
    /// however unevenly the traffic is spread over them.
    fn usual_rate(&self, target: &Target, now: Duration) -> f64 {
        let Some(d) = self.destinations.get(&target.destination) else { return 0.0 };
        let elapsed = now.saturating_sub(d.traffic().first_seen).max(self.card.warm_within).as_secs_f64();
        let targets = self.active(target.destination).count().max(1) as f64;
        let seen = d.traffic().arrivals as f64 / elapsed / targets;
        // A listed rate may be half too high; capacity lies over it, and a small sample errs by more.
        let sharing = if self.apart(target) { 1.0 } else { targets };
        self.rate(target).map_or(seen, |w| seen.max(w / self.card.forwarders / sharing))
    }

    /// Calls a second that a target's route takes from all: as listed, or less if it tells so.
    pub(crate) fn rate(&self, target: &Target) -> Option<f64> {
        let listed = target.weight().filter(|_| self.card.overlisted.is_some())?;
        Some(target.usage().limit.map_or(listed, |limit| listed.min(limit)))
    }

    /// Calls a second to a route that are this forwarder's part of what it takes.
    fn part(&self, target: &Target, now: Duration) -> f64 {
        let sharing = self.active(target.destination).count().max(1) as f64;
        let members = if self.apart(target) { 1.0 } else { sharing };
        let usual = self.usual_rate(target, now) * members;
        // Where most others are down, one's part grows with what they leave to it. The envelope at hand says
        // nothing of that.
        let span = self.card.warm_within / 2;
        let lately = self.destinations.get(&target.destination);
        let lately = lately.map_or(0.0, |d| (d.traffic().lately_at(now, span) - 1.0).max(0.0));
        let lately = lately / span.as_secs_f64().max(0.001) * members / sharing;
        let part = match self.rate(target).filter(|_| self.listed_full(target)) {
            Some(calls) => (calls / self.card.forwarders).max(lately / self.batch(target) as f64),
            None => usual.max(lately),
        };
        part.max(0.001)
    }

    /// Guard for rule 4. Symptom: a target that failed calls, or refused all, may be on its way back, and
    /// cold. Also covers one that fails on part of its calls. It can harm one that was never cold, by pacing
    /// it for some seconds after a time-out.
    fn push_room(&self, route: Route, target: &Target, now: Duration) -> Result<f64, Duration> {
        let Some(trouble) = target.usage().trouble else { return Ok(f64::MAX) };
        let card = &self.card;
        // The middle of the span that the budget is counted over. What has not answered many forwarders may
        // still be down, and sooner calls of each would push it over.
        let answered = self.circuits.get(&route).is_some_and(|c| c.last_answer >= trouble);
        let down = if answered || !card.many { Duration::ZERO } else { card.warm_within };
        let warmed = now.saturating_sub(trouble + down + card.tip_after / 2).as_secs_f64();
        let share =
            card.cold_from + (1.0 - card.cold_from) * warmed / card.warm_within.as_secs_f64().max(0.001);
        if share >= 1.0 {
            return Ok(f64::MAX);
        }
        let usual = self.usual_rate(target, now);
        let per_second = PUSH_OF_USUAL * card.fall_multiple * share * usual;
        // One's part is few calls for each span, so that they are spaced and not counted.
        let next = target.usage().pushes.back().map(|p| p.0 + seconds(p.1 / per_second.max(0.01)));
        let budget = (per_second * card.tip_after.as_secs_f64()).max(1.0);
        next.filter(|at| now < *at).map_or(Ok(budget), Err)
    }

    /// The design's delay for a route. Every forwarder sends a trial of its own, and the first ones after a
    /// return all land on a cold destination: with many forwarders or a small route they come less often.
    fn recovery_delay(&self, target: &Target, now: Duration) -> Duration {
        let card = &self.card;
        let part = self.usual_rate(target, now).max(LEAST_CAPACITY / card.forwarders);
        let trials = card.fall_multiple * card.cold_from * part * card.tip_after.as_secs_f64();
        if trials >= 1.0 {
            return card.recovery_delay;
        }
        card.recovery_delay.max(seconds(card.tip_after.as_secs_f64() / trials).min(2 * card.warm_within))
    }

    /// How long no answer may come before the route counts as silent: the more calls are out, the sooner.
    fn overdue_after(&self, circuit: &Circuit) -> Duration {
        let mean = circuit.mean.or(self.pace).unwrap_or(self.card.recovery_delay.as_secs_f64() / 2.0);
        seconds(mean * (OVERDUE_MEANS + OVERDUE_SHARED / circuit.out.len().max(1) as f64))
            .max(self.card.recovery_delay / 4)
    }

    /// Symptom: many forwarders that were refused nothing yet send what comes at once, and a clump that comes
    /// to all of them is over a limit which refused calls use up too, so that nothing passes for seconds.
    /// Where no answer tells of limits each has turns at a route with a listed rate, one call in each; the
    /// turns of all lie apart by chance and are soon over, so that the unused ones are not kept for the
    /// clump. It costs part of a promise where the limit is far. None: a call may go; else the next turn.
    fn next_turn(&self, route: Route, target: &Target, now: Duration) -> Option<Duration> {
        let paced = self.card.many && self.apart(target) && !self.card.answers_report;
        let listed = self.rate(target).filter(|_| paced)?;
        // One that carries several times what others do has that many turns.
        let times = (self.part(target, now) * self.card.forwarders / listed).round().max(1.0);
        let apart = if self.listed_full(target) { OVERLISTED } else { TURN };
        let turn = apart * self.card.forwarders / listed / times;
        // Against rates that no one can mean, of either kind.
        let turn = turn.min(self.card.longest.as_secs_f64()).max(LEAST_WAKE.as_secs_f64());
        let at = now.as_secs_f64() / turn + target.phase;
        let began = now.saturating_sub(seconds(at.fract() * turn));
        let used = self.circuits.get(&route).is_some_and(|c| c.last_sent > began);
        let open = (TURN_OPEN * turn).max(TURN_OPEN_LEAST);
        (used || at.fract() * turn > open).then(|| began + seconds(turn) + LEAST_WAKE)
    }

    /// Whether a call may go to the target now. What only an event can change is asked for first.
    fn admit(&self, route: Route, target: &Target, now: Duration) -> Leave {
        let circuit = self.circuits.get(&route);
        let leave = circuit.map_or(Leave::Send, |c| self.admit_circuit(c, now));
        if matches!(leave, Leave::Hold(_)) {
            return leave;
        }
        if let Some(at) = self.next_turn(route, target, now) {
            return Leave::Pace(Some(at));
        }
        let Some(circuit) = circuit.filter(|_| leave == Leave::Send) else { return leave };
        // Symptom: calls are out and none has been answered for long. Against a silent or hanging destination
        // that takes all slots before its first time-out; also covers stalls and slowdowns, which it paces by
        // their own answers. It can harm by waiting behind one very long piece of work, hence two calls.
        if circuit.out.len() >= 2 && circuit.calls_since(circuit.last_answer) > 0 {
            let since = circuit.out.front().map_or(now, |o| o.1).max(circuit.last_answer);
            if now.saturating_sub(since) > self.overdue_after(circuit) {
                return Leave::Pace(None);
            }
        }
        self.push_room(route, target, now).map_or_else(|at| Leave::Pace(Some(at)), |_| Leave::Send)
    }

    /// What the circuit itself says.
    fn admit_circuit(&self, circuit: &Circuit, now: Duration) -> Leave {
        if now < circuit.wait_until {
            return Leave::Hold(Some(circuit.wait_until));
        }
        // Symptom: calls are refused as over a limit, which refused calls, trials too, may use up as well.
        // Also covers full queues. It can harm by staying slow for some answers after a limit was felt only
        // once.
        let after_last = circuit.last_sent + seconds(circuit.spacing);
        let spaced = if self.card.many { circuit.spaced_until } else { after_last };
        let leave = circuit.deliver(now);
        if !matches!(leave, Leave::Hold(_)) && now < spaced {
            return Leave::Hold(Some(spaced));
        }
        // Calls that nothing has answered since. Of those from before an answer, which hang or are long, none
        // holds back what rejoins.
        let calls = || circuit.calls_since(circuit.last_answer);
        if leave == Leave::Send && circuit.rejoin.is_some_and(|most| calls() >= most) {
            return Leave::Hold(None);
        }
        leave
    }

    /// What one outcome tells of the route and the target.
    fn learn(&mut self, dispatch: &Dispatch, now: Duration, outcome: Outcome) {
        let (route, id, sent) = (dispatch.route, dispatch.target, dispatch.sent);
        let Some(target) = self.targets.get(&id) else { return };
        let recovery_delay = self.recovery_delay(target, now);
        let of_route = self.members(route);
        let refused = matches!(outcome, Outcome::Full(_));
        // A route takes at least half of what it is usually sent, in so many calls or in fewer, fuller ones.
        let rates = refused.then(|| (self.usual_rate(target, now), self.part(target, now)));
        let (usual, part) = rates.unwrap_or_default();
        let usual = usual * of_route.len() as f64 / self.batch(target) as f64;
        let most = (self.card.forwarders / LEAST_CAPACITY).min(2.0 / usual.max(0.01));
        let members = || of_route.iter().filter_map(|t| self.targets.get(t));
        let troubled = members().any(|t| t.usage().trouble.is_some());
        let pushes = members().filter(|_| refused).flat_map(|t| &t.usage().pushes);
        let lately = pushes.filter(|p| now.saturating_sub(p.0) < self.card.tip_after).count();
        self.circuit_mut(route);
        let card = &self.card;
        let Some(circuit) = self.circuits.get_mut(&route) else { return };
        let Some(target) = self.targets.get_mut(&id).map(Target::usage_mut) else { return };
        let answered = matches!(outcome, Outcome::Completed | Outcome::Error | Outcome::Full(_));
        target.answered = answered.then_some(now);
        let (mut all_troubled, mut until) = (false, now);
        match outcome {
            Outcome::CalledOff | Outcome::Unreadable => return,
            // Symptom: an envelope uses up its dispatches in an instant, as each comes back unsent: a slot or
            // a connection that was given up still counts, or the ledger fails. It can harm by a short rest.
            Outcome::Unsent => {
                circuit.wait_until = circuit.wait_until.max(now + card.recovery_delay / 4);
                return;
            }
            Outcome::Completed => {
                // Whatever the route's targets showed before, they have only now come back.
                all_troubled = circuit.restrained_until.is_some() && troubled;
                circuit.success(now);
                let shrink = if card.many { SELDOM_SHRINK } else { SPACING_SHRINK };
                // What refused calls use up as well needs fewer of them; what has room, no spacing.
                circuit.spacing *= circuit.left.map_or(shrink, |left| SPACING_SHRINK * (1.0 - left));
                circuit.time_outs = 0;
                circuit.told_wait /= 2;
                circuit.last_answer = now;
                let took = now.saturating_sub(sent).as_secs_f64();
                for mean in [&mut circuit.mean, &mut self.pace] {
                    *mean = Some(mean.map_or(took, |mean| mean + MEAN_STEP * (took - mean)));
                }
                self.last_answer = now;
                if circuit.rejoin.is_some_and(|calls| calls >= card.slots) {
                    circuit.rejoin = None;
                }
                target.strikes.remove(&dispatch.category);
                let earned = target.earned.unwrap_or(card.first_credit);
                target.earned = Some((earned + EARNED_PER_ANSWER).min(EARNED_MOST));
            }
            Outcome::Full(wait) => {
                // Symptom: many forwarders are refused at about the same time, or told waits that end
                // together, and all come back at once, over the limit again. Each is put off by chance.
                let told = wait.unwrap_or(circuit.told_wait);
                // What refuses again and again may be down, whatever is left.
                let used_up = circuit.failures.is_empty() && circuit.left.is_some_and(|left| left < USED_UP);
                if card.many && sent >= circuit.spaced_at {
                    let first = card.overlisted.unwrap_or(OVERLISTED) / part;
                    // Where answers tell when there is room again, no refusal need be the last word on it.
                    let soon = if card.answers_report { card.recovery_delay } else { card.longest };
                    let growth = if card.answers_report && !used_up { OPAQUE_GROWTH } else { SPACING_GROWTH };
                    let spacing = (circuit.spacing * growth).max(first.min(soon.as_secs_f64()));
                    // Longer than an envelope lasts it would be no spacing but an end.
                    circuit.spacing = spacing.min(WIDEST_GAPS / part).min(card.longest.as_secs_f64() / 2.0);
                    let drawn = 0.5 + self.chance.random::<f64>();
                    circuit.spaced_until = now + told + seconds(drawn * circuit.spacing);
                    circuit.spaced_at = now;
                }
                // A short wait is told by a limit, which is no outage: there is room at its end.
                let limited = card.many && (used_up || !told.is_zero()) && told < card.tip_after;
                let spaced = circuit.spaced_until.saturating_sub(now);
                circuit.fail(now, if limited { spaced } else { recovery_delay }, card);
                // A limit lets some calls through, or tells a short wait; what refuses all for long, or says
                // so, is shut.
                let silent = now.saturating_sub(circuit.last_answer) >= card.tip_after / 2;
                let refuses_all = circuit.restrained_until.is_some() && silent;
                all_troubled = wait.map_or(refuses_all, |w| w >= card.tip_after);
                until = now + wait.unwrap_or_default();
                // Where some waits are told, the others are guessed from them: at a route whose refused calls
                // use up its limit, each early call makes the wait longer for all.
                if wait.is_none() {
                    circuit.wait_until = circuit.wait_until.max(now + circuit.told_wait);
                }
                // Calls out together that are refused together count once.
                if !card.many && wait.is_none() && sent >= circuit.spaced_at {
                    let recent = if lately > 1 { card.tip_after.as_secs_f64() / lately as f64 } else { 0.0 };
                    let first = (SPACING_GROWTH * recent).max(FIRST_GAP / usual.max(0.01));
                    circuit.spacing = (circuit.spacing * SPACING_GROWTH).max(first).min(most);
                    circuit.spaced_at = now;
                }
            }
            failure => {
                circuit.fail(now, recovery_delay, card);
                *target.strikes.entry(dispatch.category).or_default() += 1;
                match failure {
                    // The call never reached the destination, and pushed nothing.
                    Outcome::NoConnection => drop(target.pushes.pop_back()),
                    Outcome::TimedOut => circuit.time_outs += 1,
                    _ => {}
                }
                // One broken connection between answers tells of itself, and is no outage.
                if failure == Outcome::TimedOut || circuit.failures.len() > 1 {
                    target.trouble = Some(now);
                }
            }
        }
        if all_troubled {
            self.change(&of_route, |t| t.trouble = Some(until));
        }
    }
}

// # Choice of target and time-out.

impl Forwarder {
    /// Whether this envelope may go to that target at all, by the rules and by earned credit.
    fn may_go(&self, envelope: &Envelope, id: TargetId, target: &Target, now: Duration) -> bool {
        if target.standing != Standing::Active || target.destination != envelope.destination {
            return false;
        }
        let zone_of = |at: TargetId| self.targets.get(&at).map(|t| t.zone);
        let strange = |(_, at)| id != at && zone_of(at) != Some(target.zone);
        let in_zone = matches!(self.effect(envelope), Effect::Receipted { group: Group::Zone, .. });
        let stranger = in_zone && envelope.may_have_run.is_some_and(strange);
        if stranger || now >= self.begin_by(envelope, self.route_of(id, target)) {
            return false;
        }
        // A further dispatch goes where answers have earned it, or where nothing was sent for a while. What
        // was refused may also go by the spacing alone; where forwarders are few, after a usual gap.
        if envelope.dispatches == 0 || self.earned(target) >= 1.0 {
            return true;
        }
        let usual = self.usual_rate(target, now).max(0.01);
        let promised = self.card.categories[envelope.category].promised;
        let idle = now.saturating_sub(target.usage().last_sent);
        if envelope.may_have_run.is_some() {
            return idle >= self.card.recovery_delay;
        }
        usual * promised.as_secs_f64() >= 1.0 || self.card.many || idle >= seconds(1.0 / usual)
    }

    /// Until when a repeat may begin; without end for what needs no receipt.
    pub(crate) fn receipt_until(&self, envelope: &Envelope) -> Duration {
        match (envelope.may_have_run, self.effect(envelope)) {
            (Some((first, _)), Effect::Receipted { window, .. }) => first + window,
            _ => Duration::MAX,
        }
    }

    /// Until when a dispatch may begin. What is out when the program stops may have run, and an effectful
    /// envelope is lost by it.
    fn begin_by(&self, envelope: &Envelope, route: Route) -> Duration {
        let mean = self.circuits.get(&route).and_then(|c| c.mean).or(self.pace).unwrap_or_default();
        let means = if self.effect(envelope) == Effect::Effectful { TRIAL_MEANS } else { 0.0 };
        let stop = self.leave_by.map_or(Duration::MAX, |by| by.saturating_sub(seconds(means * mean)));
        self.receipt_until(envelope).min(stop)
    }

    /// How many times as long as any call one to the route takes; no less than once.
    fn slowness(&self, circuit: Option<&Circuit>) -> f64 {
        let pace = self.pace.unwrap_or(1.0).max(0.001);
        (circuit.and_then(|c| c.mean).unwrap_or(pace) / pace).max(1.0)
    }

    /// Points that a call to the target costs: its route's fee, crossing zones, and a new connection.
    fn price(&self, target: &Target, now: Duration) -> f64 {
        let card = &self.card;
        let zone = self.zones.name(target.zone);
        let fee = card.zone_fees.iter().find(|f| f.0 == zone && self.apart(target));
        let crossing = if zone == card.zone { 0.0 } else { card.cross_zone_price };
        let connecting = if self.connected(target, now) { 0.0 } else { card.connection_price };
        fee.map_or(0.0, |f| f.1) + crossing + connecting
    }

    /// Of two drawn at random, and those with an idle connection, the one that the forwarder's own counts
    /// favour: not struck, not twice as slow, then by price.
    fn choose(&mut self, able: &[TargetId], category: usize, now: Duration) -> TargetId {
        // Departure: where routes apart have listed rates, they are drawn by these, as nothing else tells a
        // forwarder that sees little of each that one takes a third of what its neighbour takes.
        let rate = |t: &Target| self.rate(t).filter(|_| self.apart(t)).unwrap_or(1.0);
        let rated: Vec<_> = able.iter().map(|id| (*id, rate(&self.targets[id]))).collect();
        let mut draw = || rated.choose_weighted(&mut self.chance, |r| r.1).map_or(able[0], |r| r.0);
        let drawn = [draw(), draw()];
        let burden = |id: &TargetId| {
            let t = &self.targets[id];
            let slow = self.slowness(self.circuits.get(&self.route_of(*id, t))).log2() as u64;
            (strikes(t, category).min(3), slow, (self.price(t, now) * 1e6) as u64, t.usage().calls_out)
        };
        let kept = able.iter().copied().filter(|id| self.connected(&self.targets[id], now));
        drawn.into_iter().chain(kept).min_by_key(burden).unwrap_or(able[0])
    }

    fn time_out(&self, envelope: &Envelope, route: Route, trial: bool) -> Duration {
        let category = &self.card.categories[envelope.category];
        let circuit = self.circuits.get(&route);
        let mean = circuit.and_then(|c| c.mean).unwrap_or(0.0);
        let growth = TIME_OUT_GROWTH.powi(circuit.map_or(0, |c| c.time_outs.min(2)) as i32);
        // Cutting off an effectful call loses the envelope, so that it gets twice the time.
        let patience = if category.effect == Effect::Effectful { EFFECTFUL_PATIENCE } else { 1.0 };
        // No second trial goes while one is out, so that a long one would hide the return.
        let ordinary = (TIME_OUT_MEANS, category.promised);
        let (means, floor) = if trial { (TRIAL_MEANS, self.card.recovery_delay) } else { ordinary };
        seconds((means * mean).max(floor.as_secs_f64()) * patience * growth)
    }
}

// # Taking turns.

impl Forwarder {
    /// Decides all that can be decided now. To be called once everything known at this time has been told.
    pub fn turn(&mut self, now: Duration, host: &mut dyn Host) {
        let mut wake: Option<Duration> = None;
        if self.ask_at.take_if(|at| *at <= now).is_some() {
            host.subscribe(true);
        }
        sooner(&mut wake, self.ask_at);
        self.backlog.wake_due(now);
        for id in self.backlog.awake().clone() {
            self.forget_old(id, now);
        }
        self.make_room(now, host);
        self.forget_gone(now, self.card.longest + RECORD_MARGIN);
        self.forget_idle(now, self.card.longest * IDLE_KEPT);
        self.forget_keys(now);
        self.take_turns(now, host, &mut wake);
        self.answer_hopeless(now, host, &mut wake);
        if self.calls.len() >= self.card.slots {
            self.free_slot(now, host, &mut wake);
        }
        self.ask_wake(wake, now, host);
    }

    /// Calls as long as there are slots, each for the destination whose claim is the best.
    fn take_turns(&mut self, now: Duration, host: &mut dyn Host, wake: &mut Option<Duration>) {
        if self.calls.len() >= self.card.slots {
            return;
        }
        let waited: BTreeMap<_, _> =
            self.backlog.awake().iter().map(|d| (*d, self.waited(*d, now))).collect();
        let mut turns: BinaryHeap<_> = waited.iter().map(|(d, w)| Reverse(self.claim(*d, *w))).collect();
        let mut holds = self.backlog.next_wake();
        while self.calls.len() < self.card.slots {
            // Where none is left, nothing more can go until one of the waits ends.
            let Some(Reverse((.., destination))) = turns.pop() else { return sooner(wake, holds) };
            if self.take_turn(destination, now, host, &mut holds) && self.backlog.line(destination).is_some()
            {
                turns.push(Reverse(self.claim(destination, waited[&destination])));
            }
        }
    }

    /// Orders destinations for the next call: the least claim goes first. Slots are few, and a slow call holds
    /// one for as long as several others would.
    fn claim(&self, destination: DestinationId, waited: f64) -> (u64, u64, DestinationId) {
        let of_routes = self.circuits_of(destination).map(|c| self.slowness(Some(c)));
        let slow = of_routes.reduce(f64::min).unwrap_or(1.0);
        let claim = ((self.calls_out(destination) + 1) as f64 * slow / waited) as u64;
        (claim, self.destinations[&destination].traffic().last_turn, destination)
    }

    /// How long a destination's oldest envelope that may still keep its promise has waited, as a part of it.
    fn waited(&self, destination: DestinationId, now: Duration) -> f64 {
        let promised = |c: &Class| self.card.categories[c.worth.category].promised.as_secs_f64().max(0.001);
        let passed = |(c, by): (&Class, Duration)| 1.0 - by.saturating_sub(now).as_secs_f64() / promised(c);
        let next = self.backlog.line(destination).into_iter().flat_map(|line| line.next_promises(now));
        next.map(passed).filter(|p| *p < 1.0).fold(LINE_WAITS, f64::max)
    }

    /// Drops what is too old to matter of a destination's records, before they are read.
    fn forget_old(&mut self, destination: DestinationId, now: Duration) {
        let (tip_after, troubled_for) =
            (self.card.tip_after, self.card.tip_after + 2 * self.card.warm_within);
        let targets = self.destinations.get(&destination).map(|d| d.targets.clone());
        for id in targets.unwrap_or_default() {
            let Some(target) = self.targets.get(&id) else { continue };
            if let Some(circuit) = self.circuits.get_mut(&self.route_of(id, target)) {
                circuit.expire(now, &self.card);
            }
            if let Some(usage) = self.targets.get_mut(&id).and_then(Target::usage_if_any) {
                usage.forget_old(now, tip_after, troubled_for);
            }
        }
    }

    /// Symptom: every slot is out, some with calls to silent routes, while others could send. The call that
    /// is most overdue is called off, the more readily as it may run again elsewhere. Covers hanging, silent
    /// and very slow destinations; it can harm by repeating work that would still have been answered.
    fn free_slot(&mut self, now: Duration, host: &mut dyn Host, wake: &mut Option<Duration>) {
        // Newest answer of a route that an envelope waits to go to, or of any where that route has not been
        // heard of lately; where all are slow alike, none is called off.
        let mut lively = Duration::ZERO;
        for id in self.backlog.awake() {
            for (target, t) in self.active(*id) {
                let route = self.route_of(target, t);
                if self.admit(route, t, now) != Leave::Send {
                    continue;
                }
                let heard = self.circuits.get(&route).map_or(Duration::ZERO, |c| c.last_answer);
                let lately = heard > Duration::ZERO && now.saturating_sub(heard) < self.card.window;
                lively = lively.max(if lately { heard } else { self.last_answer });
            }
        }
        let mut worst: Option<(f64, (EnvelopeId, DispatchNo))> = None;
        for (key, d) in self.dispatches.iter().filter(|(_, d)| !d.called_off && d.sent < lively) {
            let Some(circuit) = self.circuits.get(&d.route).filter(|c| c.last_answer <= d.sent) else {
                continue;
            };
            let Some(envelope) = self.envelopes.get(d.envelope) else { continue };
            // Calling off an effectful one loses it, so that it takes longer.
            let patience = if self.effect(envelope) == Effect::Effectful { EFFECTFUL_PATIENCE } else { 1.0 };
            let allowed = self.overdue_after(circuit).mul_f64(patience);
            let ratio = now.saturating_sub(d.sent).as_secs_f64() / allowed.as_secs_f64();
            if ratio < 1.0 {
                sooner(wake, Some(d.sent + allowed));
            } else if worst.as_ref().is_none_or(|w| ratio > w.0) {
                worst = Some((ratio, key.clone()));
            }
        }
        if let Some((_, key)) = worst {
            self.call_off(self.dispatches[&key].call, host);
        }
    }

    /// The order of categories. It comes by chance, with the square of their credit: strictly by it, a cheap
    /// one starves where a route is used up.
    fn draw_order(&mut self) -> Vec<u64> {
        let draw = |c: f64| (-self.order_chance.random::<f64>().ln() / c.max(0.001).powi(2) * 1e6) as u64;
        self.card.categories.iter().map(|c| c.credit).map(draw).collect()
    }

    /// The envelopes of a run whose keys are free, each with its rank; the least goes first: inside its share
    /// before beyond it, able to keep its promised time before late, by category, then by promised time.
    fn free<'r>(&'r self, run: &Run<'r>, order: &[u64], now: Duration) -> impl Iterator<Item = Ranked> + 'r {
        let class = run.class;
        // What may have run has a receipt that runs out, and goes before that.
        let late = run.late && !class.may_have_run;
        let rank = (class.worth.over_share, class.errors > 1, late, order[class.worth.category]);
        let keyed = self.card.categories[class.worth.category].ordered;
        let free = move |key: &EnvelopeKey| !keyed || self.key_free(&self.envelopes[*key], now);
        let of_run = run.entries().filter(move |(_, key)| free(key));
        of_run.map(move |(promise, key)| ((rank, promise), key))
    }

    /// The first envelope of a run that one of these targets may get. All of a class fare alike, but for
    /// those that have receipts.
    fn first_able(&self, run: &Run, order: &[u64], to: &[TargetId], now: Duration) -> Option<Ranked> {
        let most = if run.class.may_have_run { usize::MAX } else { 1 };
        self.free(run, order, now).take(most).find(|(_, key)| !self.able(*key, to, now).is_empty())
    }

    /// Those of some targets that an envelope may go to.
    fn able(&self, key: EnvelopeKey, to: &[TargetId], now: Duration) -> Vec<TargetId> {
        let may = |t: &&TargetId| self.may_go(&self.envelopes[key], **t, &self.targets[*t], now);
        to.iter().filter(may).copied().collect()
    }

    /// One call for the destination, if any envelope may go; says whether one went.
    fn take_turn(
        &mut self,
        destination: DestinationId,
        now: Duration,
        host: &mut dyn Host,
        wake: &mut Option<Duration>,
    ) -> bool {
        let (mut open, mut until, mut paced) = (BTreeMap::new(), None, false);
        for (id, t) in self.active(destination) {
            let route = self.route_of(id, t);
            let leave = self.admit(route, t, now);
            paced |= matches!(leave, Leave::Pace(_));
            match leave {
                Leave::Send => drop(open.insert(id, (route, false))),
                Leave::Trial => drop(open.insert(id, (route, true))),
                Leave::Hold(at) | Leave::Pace(at) => sooner(&mut until, at),
            }
        }
        sooner(wake, until);
        if open.is_empty() {
            if !paced {
                self.backlog.sleep(destination, until);
            }
            return false;
        }
        let order = self.draw_order();
        let runs: Vec<Run> = self.backlog.runs(destination, now).collect();
        let of_kind = |trial| open.iter().filter(move |(_, o)| o.1 == trial).map(|(t, _)| *t).collect_vec();
        let (for_trial, for_others) = (of_kind(true), of_kind(false));
        let repeatable = |category: usize| self.card.categories[category].effect != Effect::Effectful;
        let first = |run: &Run, to: &[TargetId]| self.first_able(run, &order, to, now);
        // A trial may be lost, so that one goes with an envelope that may run again, if there is any.
        let of_trial = runs.iter().filter(|r| repeatable(r.class.worth.category));
        let of_trial = of_trial.filter_map(|r| Some((r.class.errors, first(r, &for_trial)?)));
        let lead = (of_trial.min().map(|(_, ranked)| ranked))
            .or_else(|| runs.iter().filter_map(|r| first(r, &for_others)).min())
            .or_else(|| runs.iter().filter_map(|r| first(r, &for_trial)).min());
        let Some((_, lead)) = lead else {
            sooner(wake, Some(now + self.card.recovery_delay / 4));
            return false;
        };
        let (tried, sent) = (self.able(lead, &for_trial, now), self.able(lead, &for_others, now));
        let trial = repeatable(self.envelopes[lead].category) && !tried.is_empty() || sent.is_empty();
        let mut able = if trial { tried } else { sent };
        // Symptom: one target of a destination fails, or fails one category, while what else answers keeps
        // the circuit shut. It can harm by resting a target for a call that was lost alone.
        let category = self.envelopes[lead].category;
        let rested = |id: &TargetId| {
            let t = &self.targets[id];
            now >= t.usage().last_sent + self.card.recovery_delay * strikes(t, category).min(4)
        };
        if able.iter().any(rested) {
            able.retain(rested);
        }
        let target = self.choose(&able, category, now);
        let leave @ (route, _) = open[&target];
        // Many envelopes in one call push a cold target more than one does.
        let fits =
            1.0 + (self.push_room(route, &self.targets[&target], now).unwrap_or(1.0) - 1.0) / PUSH_PER_EXTRA;
        let batch = if trial { 1 } else { self.batch(&self.targets[&target]).min(fits as usize) };
        let may = |key: &EnvelopeKey| self.may_go(&self.envelopes[*key], target, &self.targets[&target], now);
        let mut going = vec![lead];
        if batch > 1 {
            let runs = self.backlog.runs(destination, now);
            let ranked = runs.map(|r| self.free(&r, &order, now)).kmerge().map(|(_, key)| key);
            going.extend(ranked.filter(|key| *key != lead).take(batch - 1).filter(may));
        }
        self.dispatch(going, target, leave, now, host);
        true
    }

    /// One call that carries these envelopes.
    fn dispatch(
        &mut self,
        going: Vec<EnvelopeKey>,
        target: TargetId,
        (route, trial): (Route, bool),
        now: Duration,
        host: &mut dyn Host,
    ) {
        self.counter += 1;
        let call = CallNo(self.counter);
        self.calls.insert(call, going.len() as u32);
        let push = 1.0 + PUSH_PER_EXTRA * (going.len() - 1) as f64;
        // One that timed out alone and went again would be a second copy of what its call still holds.
        let waits = going.iter().filter_map(|k| Some(self.time_out(self.envelopes.get(*k)?, route, trial)));
        let together = waits.max().filter(|_| !self.card.copies).unwrap_or_default();
        for key in going {
            let Some(envelope) = self.envelopes.get(key) else { continue };
            let left = envelope.outer_limit.saturating_sub(now);
            let time_out = self.time_out(envelope, route, trial).max(together).min(left);
            let begin_within = self.begin_by(envelope, route).saturating_sub(now).min(time_out);
            let further = envelope.dispatches > 0;
            let then = after_dispatch(key, target, now);
            let dispatch = Dispatch::new(key, envelope, (target, route), (call, now), then);
            let Some((id, no)) = self.begin(dispatch) else { continue };
            if further {
                let earned = (self.earned(&self.targets[&target]) - 1.0).max(0.0);
                self.change(&[target], |t| t.earned = Some(earned));
            }
            if trial {
                let recovery_delay = self.recovery_delay(&self.targets[&target], now);
                let circuit = self.circuit_mut(route);
                circuit.re_arm(now, recovery_delay);
                circuit.trial = Some((id.clone(), no));
            }
            host.dispatch(&id, target, Spans { call, begin_within, time_out });
        }
        self.book_call(call, route, target, now, push);
        let circuit = self.circuit_mut(route);
        circuit.spaced_until = circuit.spaced_until.max(now + seconds(circuit.spacing));
    }
}

/// A held envelope behind what decides whether it goes before another.
type Ranked = (((bool, bool, bool, u64), (Duration, u64)), EnvelopeKey);

/// The step that a dispatch leaves behind: hold the envelope again where its category and what is known of
/// the dispatch allow that, else break it off.
fn after_dispatch(key: EnvelopeKey, target: TargetId, sent: Duration) -> Next {
    Box::new(move |forwarder, host, now, outcome| {
        let Some(envelope) = forwarder.envelopes.get_mut(key) else { return };
        if !outcome.never_ran() {
            let first = envelope.may_have_run.map_or(sent, |m| m.0.min(sent));
            envelope.may_have_run = Some((first, target));
        }
        if !envelope.out.is_empty() {
            return;
        }
        if outcome == Outcome::Unreadable {
            // No target will ever read it, and whoever hands it in again is told the same.
            host.break_off(&envelope.id);
            forwarder.end_key(key, host);
        } else if forwarder.spent(key, now) {
            forwarder.give_up(key, now, host);
        } else {
            forwarder.hold(key);
        }
    })
}

// # Final answers.

impl Forwarder {
    /// Whether an envelope may not be dispatched again, whatever its destination does.
    fn spent(&self, key: EnvelopeKey, now: Duration) -> bool {
        let Some(envelope) = self.envelopes.get(key) else { return true };
        envelope.dispatches >= self.card.dispatch_cap
            || now >= envelope.outer_limit
            || (self.effect(envelope) == Effect::Effectful && envelope.may_have_run.is_some())
    }

    /// The one final answer for an envelope that is given up on: shed where handing it in again is harmless.
    fn give_up(&mut self, key: EnvelopeKey, now: Duration, host: &mut dyn Host) {
        let Some(envelope) = self.envelopes.get(key) else { return };
        let unrun = envelope.may_have_run.is_none() && envelope.out.is_empty();
        let receipt = envelope.may_have_run.is_some() && now < self.receipt_until(envelope);
        let repeatable = match self.effect(envelope) {
            Effect::Pure => true,
            Effect::Receipted { group, .. } => receipt && group == Group::All,
            Effect::Effectful => false,
        };
        if (unrun || repeatable) && now < envelope.outer_limit {
            host.shed(&envelope.id, self.come_back(envelope.destination, now));
        } else {
            host.break_off(&envelope.id);
        }
        self.end_key(key, host);
    }

    /// When a destination may take an envelope again, as far as that is known.
    fn come_back(&self, destination: DestinationId, now: Duration) -> Option<Duration> {
        let most = self.card.come_back?;
        let opens = |c: &Circuit| c.wait_until.max(c.restrained_until.unwrap_or_default());
        let opens = self.circuits_of(destination).map(opens).min().unwrap_or_default();
        Some(opens.saturating_sub(now).max(self.card.recovery_delay).min(most))
    }

    /// Envelopes that can no longer be completed are answered at once: no time for an answer is left, the
    /// asked wait of every target ends too late, or a receipt has run out. While some time is left it can
    /// still be said that handing in again is harmless.
    fn answer_hopeless(&mut self, now: Duration, host: &mut dyn Host, wake: &mut Option<Duration>) {
        let answer = seconds(self.pace.unwrap_or_default()).max(LAST_MOMENT);
        self.renew_indices();
        let mut hopeless: Vec<_> = self.backlog.ending(now, answer).into_iter().collect();
        hopeless
            .sort_by_key(|key| (self.envelopes[*key].destination, self.envelopes[*key].held.map(|h| h.0)));
        for key in hopeless {
            self.give_up(key, now, host);
        }
        self.renew_indices();
        sooner(wake, self.backlog.next_end(answer));
    }

    /// Symptom: the holding room is full, and whatever comes next is turned away unseen. What would earn
    /// least goes instead. Of what is late, the one whose promise ended first; of what is not, the one that
    /// is promised last, of the destination with most held.
    fn make_room(&mut self, now: Duration, host: &mut dyn Host) {
        while self.envelopes.len() >= self.card.room {
            self.renew_indices();
            let candidates = self.backlog.worth_classes().filter_map(|class| {
                let first = self.backlog.earliest(class)?;
                let late = first.by < now;
                let (len, p) = if late { (usize::MAX, first) } else { self.backlog.longest(class)? };
                let worth = (self.worth(&self.envelopes[p.key], now) * 1e6) as u64;
                let order = if late {
                    (0, p.by, p.arrival)
                } else {
                    (usize::MAX - len, Duration::MAX - p.by, u64::MAX - p.arrival)
                };
                Some(((worth, !late, order), p.key))
            });
            let Some((_, least)) = candidates.min() else { return };
            self.give_up(least, now, host);
        }
    }

    /// The credit that an envelope would earn now.
    fn worth(&self, envelope: &Envelope, now: Duration) -> f64 {
        let rate = &self.card.categories[envelope.category];
        let late = now.saturating_sub(envelope.promised_by).as_secs_f64();
        let left = if self.card.halving {
            0.5_f64.powf(late / rate.promised.as_secs_f64().max(0.001)).max(rate.late_credit)
        } else {
            let over = rate.outer_limit.saturating_sub(rate.promised).as_secs_f64().max(0.001);
            1.0 - (1.0 - rate.late_credit) * (late / over).min(1.0)
        };
        let share = if envelope.over_share { self.card.over_share_credit } else { 1.0 };
        rate.credit * left * share
    }
}

// # What the host tells.

impl Forwarder {
    /// A new instance, which knows the terms and nothing else.
    pub fn open(now: Duration, terms: Terms, host: &mut dyn Host) -> Forwarder {
        let chance = [terms.seed, !terms.seed].map(Pcg32::seed_from_u64);
        let card = RateCard::derive(terms);
        if card.ask_within.is_some() {
            host.subscribe(true);
        }
        Forwarder::new(card, chance, now)
    }

    /// One line of the list of targets, between [`Forwarder::list_begins`] and [`Forwarder::list_ends`].
    pub fn listed(&mut self, listing: Listing) {
        let phase = self.chance.random::<f64>();
        self.enter(&listing, phase);
    }

    /// Asking for the list failed; the old one stands. Symptom: all ask again at once, and discovery, which
    /// turns calls away while too many wait, answers none. Each waits longer after each failure, by chance.
    pub fn list_failed(&mut self, now: Duration) {
        let Some(longest) = self.card.ask_within else { return };
        let rest = (2 * self.list_rest).clamp(self.card.recovery_delay.min(longest), longest);
        self.list_rest = rest;
        self.ask_at = Some(now + rest.mul_f64(0.5 + self.chance.random::<f64>()));
    }

    /// An envelope has been handed in; one final answer is owed from here on.
    #[allow(clippy::too_many_arguments)]
    pub fn hand_in(
        &mut self,
        now: Duration,
        id: EnvelopeId,
        category: &str,
        tenant: Option<&str>,
        key: Option<KeyId>,
        outer_limit: Duration,
        destination: DestinationId,
        host: &mut dyn Host,
    ) {
        let Some(category) = self.card.categories.iter().position(|c| c.name == category) else {
            host.break_off(&id);
            return;
        };
        let rate = &self.card.categories[category];
        let key = key.filter(|_| rate.ordered);
        // Counted from the first hand-in, which a client's repeat shares. One that comes with less time than
        // the promise is no late repeat: it is wanted until its limit, and not after.
        let whole = if now + rate.promised < outer_limit { rate.outer_limit } else { rate.promised };
        let promised_by = outer_limit.saturating_sub(whole.saturating_sub(rate.promised));
        let tenant = tenant.and_then(|t| self.card.tenants.iter().position(|n| n.0 == t));
        let over_share = tenant.is_some_and(|t| self.over_share(t, now));
        let times = (promised_by, outer_limit);
        let envelope = Envelope::new(id, category, key, destination, times, over_share);
        self.take(envelope, now);
    }

    /// The host itself has handed in again what it took on before this start, with its dispatches until then.
    pub fn recall(&mut self, now: Duration, id: &EnvelopeId, past: &[Past], host: &mut dyn Host) {
        let Some(key) = self.envelopes.key_of(id) else { return };
        let Some(envelope) = self.envelopes.get_mut(key) else { return };
        envelope.dispatches = past.len() as u32;
        let destination = envelope.destination;
        // Taken on once, it is no late newcomer: the nearer half of what it has left is its promise.
        let soon = now + envelope.outer_limit.saturating_sub(now) / 2;
        envelope.promised_by = envelope.promised_by.max(soon);
        let unsure = past.iter().filter(|p| !p.never_ran).map(|p| (p.sent, p.target));
        envelope.may_have_run = unsure.min_by_key(|u| u.0);
        if envelope.may_have_run.is_some() {
            // It may be running still.
            let (key, arrival) = (envelope.key, envelope.arrival);
            self.rest_line(key, arrival, now + self.card.key_rest);
        }
        self.refile(key);
        if self.spent(key, now) {
            self.give_up(key, now, host);
        }
        // Symptom: many forwarders that start again at once send what each of them owes in one wave, and what
        // they knew of limits is gone with the process. Its routes are met as if they had refused.
        let of_destination =
            self.active(destination).map(|(id, t)| (self.route_of(id, t), self.part(t, now)));
        for (route, part) in of_destination.filter(|_| self.card.many).collect::<Vec<_>>() {
            let first = self.circuit_mut(route).spacing == 0.0;
            let drawn = if first { self.chance.random::<f64>() } else { 0.0 };
            let circuit = self.circuit_mut(route);
            if first {
                circuit.spacing = OVERLISTED / part;
                circuit.spaced_until = now + seconds(drawn * circuit.spacing);
            }
            circuit.spaced_until = circuit.spaced_until.min(soon);
        }
    }

    /// Whether a tenant's traffic is over its share now. A forwarder sees its own part only and cannot tell
    /// how traffic is spread, so that it judges by the whole share: what is over that here is over it
    /// everywhere. Two seconds of the share may come at once.
    fn over_share(&mut self, tenant: usize, now: Duration) -> bool {
        let share = self.card.tenants[tenant].1;
        !self.tenants[tenant].spend(share, share.max(1.0) * 2.0, now)
    }

    /// A dispatch has ended; `over` says that its envelope is over, by this end or before it.
    #[allow(clippy::too_many_arguments)]
    pub fn settled(
        &mut self,
        now: Duration,
        id: &EnvelopeId,
        no: DispatchNo,
        outcome: Outcome,
        over: bool,
        host: &mut dyn Host,
    ) {
        let Some((dispatch, call_over)) = self.close(id, no) else { return };
        if let Some(target) = self.targets.get(&dispatch.target) {
            self.forget_old(target.destination, now);
        }
        if let Outcome::Full(Some(wait)) = outcome {
            self.asked_to_wait(now, dispatch.route, wait);
        }
        // Symptom: one envelope is answered with errors wherever it goes, and as the trial keeps its
        // destination restrained. Its second error tells of the envelope and not of the route. It can harm by
        // seeing an outage with errors later, where a single envelope is all that is sent.
        let mut blamed = false;
        if let Some(envelope) =
            self.envelopes.get_mut(dispatch.envelope).filter(|_| outcome == Outcome::Error)
        {
            blamed = envelope.errors > 0;
            envelope.errors += 1;
        }
        // What travels together ends together, and tells its tale once.
        if call_over && !blamed {
            let shut =
                |f: &Forwarder| f.circuits.get(&dispatch.route).is_some_and(|c| c.restrained_until.is_some());
            let before = shut(self);
            self.learn(&dispatch, now, outcome);
            if before != shut(self) && now >= self.log_after {
                self.log_after = now + LOG_EVERY;
                let what = if before { "back" } else { "restrained" };
                host.log(&format!("{what}: {:?}, after {outcome:?}", dispatch.route));
            }
        }
        if matches!(outcome, Outcome::TimedOut | Outcome::Broken | Outcome::CalledOff) {
            self.rest_line(dispatch.key, dispatch.arrival, now + self.card.key_rest);
        }
        self.leave_line(id, dispatch.key, dispatch.arrival);
        if over {
            self.end_key(dispatch.envelope, host);
        } else {
            (dispatch.then)(self, host, now, outcome);
        }
    }

    /// Rule 6. Each envelope of a call may be the one that is told to wait, or its answer speaks to them all.
    pub(crate) fn asked_to_wait(&mut self, now: Duration, route: Route, wait: Duration) {
        if let Some(destination) = self.destination_of(route) {
            self.forget_old(destination, now);
        }
        self.touch(route);
        // Symptom: all that was held goes at once when a long wait ends, to a destination that was shut and
        // is cold. A wait as long as the recovery delay is a restraint, and ends with a trial.
        let restrains = if self.card.many { self.card.tip_after } else { self.card.recovery_delay };
        let Some(circuit) = self.circuits.get_mut(&route) else { return };
        circuit.wait_until = circuit.wait_until.max(now + wait);
        circuit.told_wait = wait;
        if wait >= restrains {
            circuit.re_arm(now, wait);
        }
    }
}
