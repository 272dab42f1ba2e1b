//! The policy of reeddock: every decision, derivation and tuned value.
//!
//! How it is invoked: a host makes one [`DeliveryPolicy`] for each instance with [`DeliveryPolicy::new`], tells it
//! what happens ([`DeliveryPolicy::submit`], [`DeliveryPolicy::attempt_finished`], [`DeliveryPolicy::update_endpoint`], ...) and, once all
//! that is known at a moment has been told, calls [`DeliveryPolicy::run_due_work`]. What is decided goes out through the
//! trait [`PolicyHost`]; the interface is in `host.rs`, the plain state in `state.rs`.
//!
//! The argument from top to bottom: the rate parameters, the circuit of each route, the guards around it, choice of
//! endpoint, taking turns, what follows an outcome, final answers, and what the host tells.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use itertools::Itertools;
use rand::{seq::IndexedRandom, RngExt, SeedableRng};
use rand_pcg::Pcg32;

use crate::endpoints::Endpoint;
use crate::interface::*;
use crate::messages::MessageKey;
use crate::queue::{QueueClass, QueueSegment};
use crate::state::*;

/// Most failure times kept for a route.
const MAX_FAILURES_KEPT: usize = 5;
/// Failures within the window that restrain a route; measured at 2, 3 and 5.
const FAILURE_THRESHOLD: usize = 3;
/// Added to a record's life against clocks that are read at different moments.
const RECORD_MARGIN: Duration = Duration::from_secs(5);
/// What may be pushed, against the budget read from usual traffic. Over 1, as a destination is built for more
/// than its usual traffic. Measured at 0.75, 1.1 and 1.5: faster returns each time, no rule broken by it.
const SLOW_START_BASELINE_MULTIPLE: f64 = 1.5;
/// Weight of one more message within a call, against the call itself.
const LOAD_PER_EXTRA_MESSAGE: f64 = 0.25;
/// Messages a second that the smallest destination is taken to be built for, where nothing else is known.
const MIN_DESTINATION_CAPACITY: f64 = 2.0;
/// Spacing of calls to a route that refuses them: grown by each refusal and shrunk by each answer.
const PACING_GROWTH: f64 = 1.6;
const PACING_SHRINK: f64 = 0.93;
/// The same shrinking where answers come once in seconds, and each tells as much as many do.
const SPARSE_PACING_SHRINK: f64 = 0.75;
/// The same growth for refusals that no limit explains: a full queue, or what is down and returns cold.
const UNEXPLAINED_REJECTION_GROWTH: f64 = 4.0;
/// A refusal is a limit's where less of that was left. Reports are up to a second old.
const LIMIT_USED_UP: f64 = 0.5;
/// First spacing, in usual gaps between a forwarder's calls to the route.
const FIRST_GAP: f64 = 0.5;
/// Where forwarders are many, their turns at a route with a listed rate, in gaps between the calls that are
/// one's part of it. Under 1, as some turns stay unused.
const TIME_SLOT_GAPS: f64 = 0.8;
/// The part of a turn in which its call may begin, and its least in seconds: a host that takes its turns on a
/// coarse grid would meet short ones closed each time.
const TIME_SLOT_OPEN_SHARE: f64 = 0.3;
const TIME_SLOT_OPEN_MIN_SECONDS: f64 = 0.1;
/// In the same gaps, as the list may be half too high: first spacing after a refusal, and the widest.
const OVERLISTED: f64 = 1.5;
const MAX_PACING_GAPS: f64 = 8.0;
/// Weight of a new response time in the running mean.
const MEAN_LATENCY_WEIGHT: f64 = 0.2;
/// A route is silent when no answer came for so many mean response times, and for so many more divided by the
/// calls that are out.
const STRAGGLER_MEANS: f64 = 1.5;
const STRAGGLER_SHARED_MEANS: f64 = 4.0;
/// Further attempts that an endpoint has to its credit: at first with all forwarders together, at most with
/// one of them, and for each answer.
const RETRY_BUDGET_INITIAL: f64 = 6.0;
const RETRY_BUDGET_MAX: f64 = 5.0;
const RETRY_BUDGET_PER_ANSWER: f64 = 0.25;
/// Time-outs in mean response times, of ordinary calls (measured at 8, 12, 16) and of trials; so many times
/// as long for non-idempotent messages, and longer after time-outs in a row, so that a slow route is not cut off.
const TIMEOUT_MEANS: f64 = 12.0;
const TRIAL_MEANS: f64 = 4.0;
const NON_IDEMPOTENT_PATIENCE: f64 = 2.0;
const TIMEOUT_GROWTH: f64 = 1.5;

/// Part of its promise from which a line's wait weighs against its calls out. Symptom: slots are short, and a
/// long line gets no more than any other. A slow one does not get all, and others fill their calls meanwhile.
const MIN_RELATIVE_WAIT: f64 = 0.1;
/// Shortest wake that is asked for.
pub(crate) const MIN_TIMER: Duration = Duration::from_millis(1);
/// What was not used for so many times as long as any message lasts is forgotten.
const IDLE_RETENTION_FACTOR: u32 = 10;
/// Least time in which an answer is still looked for.
const MIN_ANSWER_TIME: Duration = Duration::from_millis(10);
/// A log line at most so often.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

// # The rate parameters: what the terms come down to.

impl PolicyParameters {
    fn derive(settings: Settings) -> PolicyParameters {
        let classes: Vec<ClassParameters> = settings
            .classes
            .into_iter()
            .map(|c| {
                let deadline = c.deadline.unwrap_or(Duration::from_secs(10));
                ClassParameters {
                    name: c.name,
                    // An effect that is not understood is treated as the one that allows least.
                    idempotency: c.idempotency.unwrap_or(Idempotency::NonIdempotent),
                    latency_objective: c.latency_objective.unwrap_or(deadline).min(deadline),
                    deadline,
                    ordered: c.ordered,
                    priority_weight: finite(c.priority_weight, 1.0),
                    late_weight: finite(c.late_weight, 0.0).min(1.0),
                }
            })
            .collect();
        let shortest = classes.iter().map(|c| c.latency_objective).min().unwrap_or(Duration::from_secs(2));
        // A trial that comes back within half the shortest promise still lets a held message keep it.
        let recovery_delay = (shortest / 2).max(Duration::from_millis(50));
        let window = recovery_delay * 10;
        PolicyParameters {
            longest: classes.iter().map(|c| c.deadline).max().unwrap_or_default(),
            classes,
            endpoint_kinds: settings.endpoint_kinds.into_iter().map(KindParameters::derive).collect(),
            tenants: settings.tenants.into_iter().map(TenantParameters::derive).collect(),
            zone: settings.zone,
            forwarders: settings.forwarders.unwrap_or(1).max(1) as f64,
            initial_retry_tokens: (RETRY_BUDGET_INITIAL / settings.forwarders.unwrap_or(1).max(1) as f64)
                .min(RETRY_BUDGET_MAX),
            sparse_traffic: settings.forwarders.unwrap_or(1) > settings.max_in_flight.unwrap_or(u64::MAX),
            max_in_flight: settings.max_in_flight.unwrap_or(u64::MAX).min(1 << 20) as usize,
            capacity: settings.capacity.unwrap_or(u64::MAX).clamp(2, 1 << 30) as usize,
            hedging_allowed: settings.hedging_allowed,
            max_attempts: settings.max_attempts.unwrap_or(u64::MAX).min(1 << 20) as u32,
            max_retry_after: settings.max_retry_after,
            window,
            recovery_delay,
            slow_start_floor: finite(settings.slow_start_floor, 0.2).clamp(0.01, 1.0),
            slow_start_duration: settings.slow_start_duration.unwrap_or(Duration::from_secs(10)),
            overload_multiple: finite(settings.overload_multiple, 2.0).max(0.1),
            overload_window: settings.overload_window.unwrap_or(Duration::from_secs(2)),
            ordering_hold_off: settings.ordering_hold_off.unwrap_or_default(),
            poll_interval_limit: settings.poll_interval_limit,
            overlisted: match settings.listed_weights {
                ListedWeights::Unspecified => None,
                ListedWeights::ApproximateRates => Some(OVERLISTED),
                ListedWeights::Rates => Some(1.0),
            },
            responses_carry_load_reports: settings.responses_carry_load_reports,
            late_decay: settings.late_decay,
            over_quota_weight: finite(settings.over_quota_weight, 0.0).min(1.0),
            connection_idle_timeout: settings.connection_idle_timeout.unwrap_or_default(),
            cross_zone_price: finite(settings.cross_zone_price, 0.0),
            connection_price: finite(settings.connection_price, 0.0),
            zone_fees: settings.zone_fees,
        }
    }
}

impl KindParameters {
    fn derive(kind: EndpointKind) -> KindParameters {
        KindParameters {
            name: kind.name,
            circuit_per_endpoint: kind.circuit_per_endpoint,
            max_batch: kind.max_batch.unwrap_or(1).clamp(1, 1000) as usize,
        }
    }
}

impl TenantParameters {
    fn derive(tenant: TenantQuota) -> TenantParameters {
        TenantParameters {
            name: tenant.tenant,
            messages_per_second: finite(tenant.messages_per_second, f64::MAX),
        }
    }
}

// # The circuit, as the design page has it.

/// What a circuit says to a delivery.
#[derive(Debug, PartialEq)]
enum Admission {
    Admit,
    HalfOpenTrial,
    /// Not before this time, and not before an event of the circuit; none: the latter alone.
    Wait(Option<Duration>),
    /// Not before this time as things stand, which may change by time alone.
    Paced(Option<Duration>),
}

impl CircuitBreaker {
    /// The design's question before each send. It changes nothing: the re-arming is in [`CircuitBreaker::reopen`],
    /// as a trial that finds no message to carry it must not push the next one back.
    fn deliver(&self, now: Duration) -> Admission {
        match self.open_until {
            None => Admission::Admit,
            Some(until) if now < until => Admission::Wait(Some(until)),
            // Ours: no new trial while one is out.
            Some(_) if self.trial.is_some() => Admission::Wait(None),
            Some(_) => Admission::HalfOpenTrial,
        }
    }

    fn reopen(&mut self, now: Duration, recovery_delay: Duration) {
        self.open_until = Some(now + recovery_delay);
        self.last_write = now;
    }

    fn record_failure(&mut self, now: Duration, recovery_delay: Duration, parameters: &PolicyParameters) {
        self.failures.push(now);
        self.failures.retain(|f| now.saturating_sub(*f) <= parameters.window);
        self.failures.drain(..self.failures.len().saturating_sub(MAX_FAILURES_KEPT));
        if self.open_until.is_some() || self.failures.len() >= FAILURE_THRESHOLD {
            // Never sooner than a wait that was told.
            self.open_until = self.open_until.max(Some(now + recovery_delay));
        }
        self.last_write = now;
    }

    fn record_success(&mut self, now: Duration) {
        if self.open_until.is_some() {
            // Ours: held messages rejoin one call out at a time.
            self.recovery_ramp = Some(1);
        } else if let Some(calls) = self.recovery_ramp {
            self.recovery_ramp = Some(calls.saturating_mul(2));
        }
        self.failures.clear();
        self.open_until = None;
        self.last_write = now;
    }

    /// The design's expiry, derived: a record that can no longer matter is as good as none. With one recovery
    /// delay it is max(delay, window) + margin after the last write; a Retry-After may make that longer.
    fn expire_if_stale(&mut self, now: Duration, parameters: &PolicyParameters) {
        let matters = self.open_until.unwrap_or_default().max(self.last_write + parameters.window);
        if self.trial.is_none() && now > matters + RECORD_MARGIN {
            self.failures.clear();
            self.open_until = None;
        }
    }
}

// # Guards around the circuit.

impl DeliveryPolicy {
    /// Messages a second that this forwarder usually has for an endpoint. All forwarders together have no more
    /// than the destination accepts a usual day, so that shares of it add up to shares of its capacity,
    /// however unevenly the traffic is spread over them.
    fn baseline_rate(&self, endpoint: &Endpoint, now: Duration) -> f64 {
        let Some(d) = self.destinations.get(&endpoint.destination) else { return 0.0 };
        let elapsed =
            now.saturating_sub(d.traffic().first_seen).max(self.parameters.slow_start_duration).as_secs_f64();
        let endpoints = self.active(endpoint.destination).count().max(1) as f64;
        let seen = d.traffic().arrivals as f64 / elapsed / endpoints;
        // A listed rate may be half too high; capacity lies over it, and a small sample errs by more.
        let sharing = if self.has_own_circuit(endpoint) { 1.0 } else { endpoints };
        self.rate(endpoint).map_or(seen, |w| seen.max(w / self.parameters.forwarders / sharing))
    }

    /// Calls a second that an endpoint's route takes from all: as listed, or less if it tells so.
    pub(crate) fn rate(&self, endpoint: &Endpoint) -> Option<f64> {
        let listed = endpoint.weight().filter(|_| self.parameters.overlisted.is_some())?;
        Some(endpoint.usage().limit.map_or(listed, |limit| listed.min(limit)))
    }

    /// Calls a second to a route that are this forwarder's part of what it takes.
    fn fair_share(&self, endpoint: &Endpoint, now: Duration) -> f64 {
        let sharing = self.active(endpoint.destination).count().max(1) as f64;
        let endpoints_of = if self.has_own_circuit(endpoint) { 1.0 } else { sharing };
        let usual = self.baseline_rate(endpoint, now) * endpoints_of;
        // Where most others are down, one's part grows with what they leave to it. The message at hand says
        // nothing of that.
        let span = self.parameters.slow_start_duration / 2;
        let recent_rate = self.destinations.get(&endpoint.destination);
        let recent_rate = recent_rate.map_or(0.0, |d| (d.traffic().lately_at(now, span) - 1.0).max(0.0));
        let recent_rate = recent_rate / span.as_secs_f64().max(0.001) * endpoints_of / sharing;
        let fair_share = match self.rate(endpoint).filter(|_| self.rate_counts_batches(endpoint)) {
            Some(calls) => {
                (calls / self.parameters.forwarders).max(recent_rate / self.batch(endpoint) as f64)
            }
            None => usual.max(recent_rate),
        };
        fair_share.max(0.001)
    }

    /// Guard for rule 4. Symptom: an endpoint that failed calls, or refused all, may be on its way back, and
    /// cold. Also covers one that fails on part of its calls. It can harm one that was never cold, by pacing
    /// it for some seconds after a time-out.
    fn slow_start_budget(
        &self,
        scope: CircuitScope,
        endpoint: &Endpoint,
        now: Duration,
    ) -> Result<f64, Duration> {
        let Some(last_fault) = endpoint.usage().last_fault else { return Ok(f64::MAX) };
        let parameters = &self.parameters;
        // The middle of the span that the budget is counted over. What has not answered many forwarders may
        // still be down, and sooner calls of each would push it over.
        let answered = self.circuits.get(&scope).is_some_and(|c| c.last_answer >= last_fault);
        let down = if answered || !parameters.sparse_traffic {
            Duration::ZERO
        } else {
            parameters.slow_start_duration
        };
        let warmed = now.saturating_sub(last_fault + down + parameters.overload_window / 2).as_secs_f64();
        let share = parameters.slow_start_floor
            + (1.0 - parameters.slow_start_floor) * warmed
                / parameters.slow_start_duration.as_secs_f64().max(0.001);
        if share >= 1.0 {
            return Ok(f64::MAX);
        }
        let usual = self.baseline_rate(endpoint, now);
        let per_second = SLOW_START_BASELINE_MULTIPLE * parameters.overload_multiple * share * usual;
        // One's part is few calls for each span, so that they are spaced and not counted.
        let next = endpoint.usage().recent_load.back().map(|p| p.0 + seconds(p.1 / per_second.max(0.01)));
        let budget = (per_second * parameters.overload_window.as_secs_f64()).max(1.0);
        next.filter(|at| now < *at).map_or(Ok(budget), Err)
    }

    /// The design's delay for a route. Every forwarder sends a trial of its own, and the first ones after a
    /// return all land on a cold destination: with many forwarders or a small route they come less often.
    fn recovery_delay(&self, endpoint: &Endpoint, now: Duration) -> Duration {
        let parameters = &self.parameters;
        let fair_share =
            self.baseline_rate(endpoint, now).max(MIN_DESTINATION_CAPACITY / parameters.forwarders);
        let trials = parameters.overload_multiple
            * parameters.slow_start_floor
            * fair_share
            * parameters.overload_window.as_secs_f64();
        if trials >= 1.0 {
            return parameters.recovery_delay;
        }
        parameters.recovery_delay.max(
            seconds(parameters.overload_window.as_secs_f64() / trials)
                .min(2 * parameters.slow_start_duration),
        )
    }

    /// How long no answer may come before the route counts as silent: the more calls are out, the sooner.
    fn straggler_after(&self, circuit: &CircuitBreaker) -> Duration {
        let mean =
            circuit.mean.or(self.mean_latency).unwrap_or(self.parameters.recovery_delay.as_secs_f64() / 2.0);
        seconds(mean * (STRAGGLER_MEANS + STRAGGLER_SHARED_MEANS / circuit.out.len().max(1) as f64))
            .max(self.parameters.recovery_delay / 4)
    }

    /// Symptom: many forwarders that were refused nothing yet send what comes at once, and a clump that comes
    /// to all of them is over a limit which refused calls use up too, so that nothing passes for seconds.
    /// Where no answer tells of limits each has turns at a route with a listed rate, one call in each; the
    /// turns of all lie apart by chance and are soon over, so that the unused ones are not kept for the
    /// clump. It costs part of a promise where the limit is far. None: a call may go; else the next turn.
    fn next_time_slot(&self, scope: CircuitScope, endpoint: &Endpoint, now: Duration) -> Option<Duration> {
        let paced = self.parameters.sparse_traffic
            && self.has_own_circuit(endpoint)
            && !self.parameters.responses_carry_load_reports;
        let listed = self.rate(endpoint).filter(|_| paced)?;
        // One that carries several times what others do has that many turns.
        let times = (self.fair_share(endpoint, now) * self.parameters.forwarders / listed).round().max(1.0);
        let has_own_circuit = if self.rate_counts_batches(endpoint) { OVERLISTED } else { TIME_SLOT_GAPS };
        let turn = has_own_circuit * self.parameters.forwarders / listed / times;
        // Against rates that no one can mean, of either kind.
        let turn = turn.min(self.parameters.longest.as_secs_f64()).max(MIN_TIMER.as_secs_f64());
        let at = now.as_secs_f64() / turn + endpoint.slot_phase;
        let began = now.saturating_sub(seconds(at.fract() * turn));
        let used = self.circuits.get(&scope).is_some_and(|c| c.last_sent > began);
        let open = (TIME_SLOT_OPEN_SHARE * turn).max(TIME_SLOT_OPEN_MIN_SECONDS);
        (used || at.fract() * turn > open).then(|| began + seconds(turn) + MIN_TIMER)
    }

    /// Whether a call may go to the endpoint now. What only an event can change is asked for first.
    fn admit(&self, scope: CircuitScope, endpoint: &Endpoint, now: Duration) -> Admission {
        let circuit = self.circuits.get(&scope);
        let leave = circuit.map_or(Admission::Admit, |c| self.admit_circuit(c, now));
        if matches!(leave, Admission::Wait(_)) {
            return leave;
        }
        if let Some(at) = self.next_time_slot(scope, endpoint, now) {
            return Admission::Paced(Some(at));
        }
        let Some(circuit) = circuit.filter(|_| leave == Admission::Admit) else { return leave };
        // Symptom: calls are out and none has been answered for long. Against a silent or hanging destination
        // that takes all slots before its first time-out; also covers stalls and slowdowns, which it paces by
        // their own answers. It can harm by waiting behind one very long piece of work, hence two calls.
        if circuit.out.len() >= 2 && circuit.calls_since(circuit.last_answer) > 0 {
            let since = circuit.out.front().map_or(now, |o| o.1).max(circuit.last_answer);
            if now.saturating_sub(since) > self.straggler_after(circuit) {
                return Admission::Paced(None);
            }
        }
        self.slow_start_budget(scope, endpoint, now)
            .map_or_else(|at| Admission::Paced(Some(at)), |_| Admission::Admit)
    }

    /// What the circuit itself says.
    fn admit_circuit(&self, circuit: &CircuitBreaker, now: Duration) -> Admission {
        if now < circuit.retry_after_until {
            return Admission::Wait(Some(circuit.retry_after_until));
        }
        // Symptom: calls are refused as over a limit, which refused calls, trials too, may use up as well.
        // Also covers full queues. It can harm by staying slow for some answers after a limit was felt only
        // once.
        let after_last = circuit.last_sent + seconds(circuit.pacing_interval);
        let spaced = if self.parameters.sparse_traffic { circuit.paced_until } else { after_last };
        let leave = circuit.deliver(now);
        if !matches!(leave, Admission::Wait(_)) && now < spaced {
            return Admission::Wait(Some(spaced));
        }
        // Calls that nothing has answered since. Of those from before an answer, which hang or are long, none
        // holds back what rejoins.
        let calls = || circuit.calls_since(circuit.last_answer);
        if leave == Admission::Admit && circuit.recovery_ramp.is_some_and(|most| calls() >= most) {
            return Admission::Wait(None);
        }
        leave
    }

    /// What one outcome tells of the route and the endpoint.
    fn record_outcome(&mut self, dispatch: &Attempt, now: Duration, outcome: AttemptOutcome) {
        let (scope, id, sent) = (dispatch.scope, dispatch.endpoint, dispatch.sent);
        let Some(endpoint) = self.endpoints.get(&id) else { return };
        let recovery_delay = self.recovery_delay(endpoint, now);
        let of_route = self.endpoints_of(scope);
        let refused = matches!(outcome, AttemptOutcome::Rejected { .. });
        // A route takes at least half of what it is usually sent, in so many calls or in fewer, fuller ones.
        let rates = refused.then(|| (self.baseline_rate(endpoint, now), self.fair_share(endpoint, now)));
        let (usual, fair_share) = rates.unwrap_or_default();
        let usual = usual * of_route.len() as f64 / self.batch(endpoint) as f64;
        let most = (self.parameters.forwarders / MIN_DESTINATION_CAPACITY).min(2.0 / usual.max(0.01));
        let endpoints_of = || of_route.iter().filter_map(|t| self.endpoints.get(t));
        let troubled = endpoints_of().any(|t| t.usage().last_fault.is_some());
        let recent_load = endpoints_of().filter(|_| refused).flat_map(|t| &t.usage().recent_load);
        let recent_rate =
            recent_load.filter(|p| now.saturating_sub(p.0) < self.parameters.overload_window).count();
        self.circuit_mut(scope);
        let parameters = &self.parameters;
        let Some(circuit) = self.circuits.get_mut(&scope) else { return };
        let Some(endpoint) = self.endpoints.get_mut(&id).map(Endpoint::usage_mut) else { return };
        let answered = matches!(
            outcome,
            AttemptOutcome::Completed | AttemptOutcome::Error | AttemptOutcome::Rejected { .. }
        );
        endpoint.answered = answered.then_some(now);
        let (mut all_troubled, mut until) = (false, now);
        match outcome {
            AttemptOutcome::Cancelled | AttemptOutcome::Malformed => return,
            // Symptom: a message uses up its attempts in an instant, as each comes back unsent: a slot or
            // a connection that was given up still counts, or the write-ahead log fails. It can harm by a short rest.
            AttemptOutcome::NotSent => {
                circuit.retry_after_until =
                    circuit.retry_after_until.max(now + parameters.recovery_delay / 4);
                return;
            }
            AttemptOutcome::Completed => {
                // Whatever the route's endpoints showed before, they have only now come back.
                all_troubled = circuit.open_until.is_some() && troubled;
                circuit.record_success(now);
                let shrink = if parameters.sparse_traffic { SPARSE_PACING_SHRINK } else { PACING_SHRINK };
                // What refused calls use up as well needs fewer of them; what has room, no spacing.
                circuit.pacing_interval *= circuit.left.map_or(shrink, |left| PACING_SHRINK * (1.0 - left));
                circuit.consecutive_timeouts = 0;
                circuit.last_retry_after /= 2;
                circuit.last_answer = now;
                let took = now.saturating_sub(sent).as_secs_f64();
                for mean in [&mut circuit.mean, &mut self.mean_latency] {
                    *mean = Some(mean.map_or(took, |mean| mean + MEAN_LATENCY_WEIGHT * (took - mean)));
                }
                self.last_answer = now;
                if circuit.recovery_ramp.is_some_and(|calls| calls >= parameters.max_in_flight) {
                    circuit.recovery_ramp = None;
                }
                endpoint.consecutive_failures.remove(&dispatch.class);
                let retry_tokens = endpoint.retry_tokens.unwrap_or(parameters.initial_retry_tokens);
                endpoint.retry_tokens = Some((retry_tokens + RETRY_BUDGET_PER_ANSWER).min(RETRY_BUDGET_MAX));
            }
            AttemptOutcome::Rejected { retry_after: wait } => {
                // Symptom: many forwarders are refused at about the same time, or Retry-After waits that end
                // together, and all come back at once, over the limit again. Each is put off by chance.
                let told = wait.unwrap_or(circuit.last_retry_after);
                // What refuses again and again may be down, whatever is left.
                let used_up =
                    circuit.failures.is_empty() && circuit.left.is_some_and(|left| left < LIMIT_USED_UP);
                if parameters.sparse_traffic && sent >= circuit.pacing_changed_at {
                    let first = parameters.overlisted.unwrap_or(OVERLISTED) / fair_share;
                    // Where answers tell when there is room again, no refusal need be the last word on it.
                    let soon = if parameters.responses_carry_load_reports {
                        parameters.recovery_delay
                    } else {
                        parameters.longest
                    };
                    let growth = if parameters.responses_carry_load_reports && !used_up {
                        UNEXPLAINED_REJECTION_GROWTH
                    } else {
                        PACING_GROWTH
                    };
                    let pacing_interval =
                        (circuit.pacing_interval * growth).max(first.min(soon.as_secs_f64()));
                    // Longer than a message lasts it would be no spacing but an end.
                    circuit.pacing_interval = pacing_interval
                        .min(MAX_PACING_GAPS / fair_share)
                        .min(parameters.longest.as_secs_f64() / 2.0);
                    let drawn = 0.5 + self.random.random::<f64>();
                    circuit.paced_until = now + told + seconds(drawn * circuit.pacing_interval);
                    circuit.pacing_changed_at = now;
                }
                // A short wait is told by a limit, which is no outage: there is room at its end.
                let limited = parameters.sparse_traffic
                    && (used_up || !told.is_zero())
                    && told < parameters.overload_window;
                let spaced = circuit.paced_until.saturating_sub(now);
                circuit.record_failure(now, if limited { spaced } else { recovery_delay }, parameters);
                // A limit lets some calls through, or tells a short wait; what refuses all for long, or says
                // so, is shut.
                let silent = now.saturating_sub(circuit.last_answer) >= parameters.overload_window / 2;
                let refuses_all = circuit.open_until.is_some() && silent;
                all_troubled = wait.map_or(refuses_all, |w| w >= parameters.overload_window);
                until = now + wait.unwrap_or_default();
                // Where some waits are told, the others are guessed from them: at a route whose refused calls
                // use up its limit, each early call makes the wait longer for all.
                if wait.is_none() {
                    circuit.retry_after_until = circuit.retry_after_until.max(now + circuit.last_retry_after);
                }
                // Calls out together that are refused together count once.
                if !parameters.sparse_traffic && wait.is_none() && sent >= circuit.pacing_changed_at {
                    let recent = if recent_rate > 1 {
                        parameters.overload_window.as_secs_f64() / recent_rate as f64
                    } else {
                        0.0
                    };
                    let first = (PACING_GROWTH * recent).max(FIRST_GAP / usual.max(0.01));
                    circuit.pacing_interval = (circuit.pacing_interval * PACING_GROWTH).max(first).min(most);
                    circuit.pacing_changed_at = now;
                }
            }
            failure => {
                circuit.record_failure(now, recovery_delay, parameters);
                *endpoint.consecutive_failures.entry(dispatch.class).or_default() += 1;
                match failure {
                    // The call never reached the destination, and pushed nothing.
                    AttemptOutcome::NoConnection => drop(endpoint.recent_load.pop_back()),
                    AttemptOutcome::TimedOut => circuit.consecutive_timeouts += 1,
                    _ => {}
                }
                // One broken connection between answers tells of itself, and is no outage.
                if failure == AttemptOutcome::TimedOut || circuit.failures.len() > 1 {
                    endpoint.last_fault = Some(now);
                }
            }
        }
        if all_troubled {
            self.change(&of_route, |t| t.last_fault = Some(until));
        }
    }
}

// # Choice of endpoint and time-out.

impl DeliveryPolicy {
    /// Whether this message may go to that endpoint at all, by the rules and by earned credit.
    fn may_attempt(&self, message: &Message, id: EndpointId, endpoint: &Endpoint, now: Duration) -> bool {
        if endpoint.state != EndpointState::Active || endpoint.destination != message.destination {
            return false;
        }
        let zone_of = |at: EndpointId| self.endpoints.get(&at).map(|t| t.zone);
        let other_zone = |(_, at)| id != at && zone_of(at) != Some(endpoint.zone);
        let in_zone = matches!(self.idempotency(message), Idempotency::WithKey { scope: KeyScope::Zone, .. });
        let stranger = in_zone && message.possibly_executed.is_some_and(other_zone);
        if stranger || now >= self.start_by(message, self.scope_of(id, endpoint)) {
            return false;
        }
        // A further attempt goes where answers have earned it, or where nothing was sent for a while. What
        // was refused may also go by the spacing alone; where forwarders are few, after a usual gap.
        if message.attempts == 0 || self.retry_tokens(endpoint) >= 1.0 {
            return true;
        }
        let usual = self.baseline_rate(endpoint, now).max(0.01);
        let latency_objective = self.parameters.classes[message.class].latency_objective;
        let idle = now.saturating_sub(endpoint.usage().last_sent);
        if message.possibly_executed.is_some() {
            return idle >= self.parameters.recovery_delay;
        }
        usual * latency_objective.as_secs_f64() >= 1.0
            || self.parameters.sparse_traffic
            || idle >= seconds(1.0 / usual)
    }

    /// Until when a repeat may begin; without end for what needs no receipt.
    pub(crate) fn key_valid_until(&self, message: &Message) -> Duration {
        match (message.possibly_executed, self.idempotency(message)) {
            (Some((first, _)), Idempotency::WithKey { window, .. }) => first + window,
            _ => Duration::MAX,
        }
    }

    /// Until when an attempt may begin. What is out when the program stops may have run, and an non-idempotent
    /// message is lost by it.
    fn start_by(&self, message: &Message, scope: CircuitScope) -> Duration {
        let mean = self.circuits.get(&scope).and_then(|c| c.mean).or(self.mean_latency).unwrap_or_default();
        let means = if self.idempotency(message) == Idempotency::NonIdempotent { TRIAL_MEANS } else { 0.0 };
        let stop =
            self.shutdown_deadline.map_or(Duration::MAX, |by| by.saturating_sub(seconds(means * mean)));
        self.key_valid_until(message).min(stop)
    }

    /// How many times as long as any call one to the route takes; no less than once.
    fn slowness(&self, circuit: Option<&CircuitBreaker>) -> f64 {
        let mean_latency = self.mean_latency.unwrap_or(1.0).max(0.001);
        (circuit.and_then(|c| c.mean).unwrap_or(mean_latency) / mean_latency).max(1.0)
    }

    /// Points that a call to the endpoint costs: its route's fee, crossing zones, and a new connection.
    fn price(&self, endpoint: &Endpoint, now: Duration) -> f64 {
        let parameters = &self.parameters;
        let zone = self.zones.name(endpoint.zone);
        let fee = parameters.zone_fees.iter().find(|f| f.zone == zone && self.has_own_circuit(endpoint));
        let crossing = if zone == parameters.zone { 0.0 } else { parameters.cross_zone_price };
        let connecting = if self.connected(endpoint, now) { 0.0 } else { parameters.connection_price };
        fee.map_or(0.0, |f| f.fee) + crossing + connecting
    }

    /// Of two drawn at random, and those with an idle connection, the one that the forwarder's own counts
    /// favour: not struck, not twice as slow, then by price.
    fn choose(&mut self, able: &[EndpointId], class: usize, now: Duration) -> EndpointId {
        // Departure: where routes apart have listed rates, they are drawn by these, as nothing else tells a
        // forwarder that sees little of each that one takes a third of what its neighbour takes.
        let rate = |t: &Endpoint| self.rate(t).filter(|_| self.has_own_circuit(t)).unwrap_or(1.0);
        let rated: Vec<_> = able.iter().map(|id| (*id, rate(&self.endpoints[id]))).collect();
        let mut draw = || rated.choose_weighted(&mut self.random, |r| r.1).map_or(able[0], |r| r.0);
        let drawn = [draw(), draw()];
        let burden = |id: &EndpointId| {
            let t = &self.endpoints[id];
            let slow = self.slowness(self.circuits.get(&self.scope_of(*id, t))).log2() as u64;
            (
                consecutive_failures(t, class).min(3),
                slow,
                (self.price(t, now) * 1e6) as u64,
                t.usage().requests_in_flight,
            )
        };
        let kept = able.iter().copied().filter(|id| self.connected(&self.endpoints[id], now));
        drawn.into_iter().chain(kept).min_by_key(burden).unwrap_or(able[0])
    }

    fn response_within(&self, message: &Message, scope: CircuitScope, trial: bool) -> Duration {
        let class = &self.parameters.classes[message.class];
        let circuit = self.circuits.get(&scope);
        let mean = circuit.and_then(|c| c.mean).unwrap_or(0.0);
        let growth = TIMEOUT_GROWTH.powi(circuit.map_or(0, |c| c.consecutive_timeouts.min(2)) as i32);
        // Cutting off an non-idempotent call loses the message, so that it gets twice the time.
        let patience =
            if class.idempotency == Idempotency::NonIdempotent { NON_IDEMPOTENT_PATIENCE } else { 1.0 };
        // No second trial goes while one is out, so that a long one would hide the return.
        let ordinary = (TIMEOUT_MEANS, class.latency_objective);
        let (means, floor) = if trial { (TRIAL_MEANS, self.parameters.recovery_delay) } else { ordinary };
        seconds((means * mean).max(floor.as_secs_f64()) * patience * growth)
    }
}

// # Taking turns.

impl DeliveryPolicy {
    /// Decides all that can be decided now. To be called once everything known at this time has been told.
    pub fn run_due_work(&mut self, now: Duration, host: &mut dyn PolicyHost) {
        let mut wake: Option<Duration> = None;
        if self.next_poll.take_if(|at| *at <= now).is_some() {
            host.subscribe(true);
        }
        sooner(&mut wake, self.next_poll);
        self.queue.wake_due(now);
        for id in self.queue.awake().clone() {
            self.forget_stale_records(id, now);
        }
        self.evict_lowest_priority(now, host);
        self.remove_endpoints(now, self.parameters.longest + RECORD_MARGIN);
        self.remove_idle_circuits(now, self.parameters.longest * IDLE_RETENTION_FACTOR);
        self.remove_idle_keys(now);
        self.schedule_requests(now, host, &mut wake);
        self.expire_messages(now, host, &mut wake);
        if self.calls.len() >= self.parameters.max_in_flight {
            self.cancel_straggler(now, host, &mut wake);
        }
        self.request_timer(wake, now, host);
    }

    /// Calls as long as there are slots, each for the destination whose claim is the best.
    fn schedule_requests(&mut self, now: Duration, host: &mut dyn PolicyHost, wake: &mut Option<Duration>) {
        if self.calls.len() >= self.parameters.max_in_flight {
            return;
        }
        let relative_wait: BTreeMap<_, _> =
            self.queue.awake().iter().map(|d| (*d, self.relative_wait(*d, now))).collect();
        let mut turns: BinaryHeap<_> =
            relative_wait.iter().map(|(d, w)| Reverse(self.scheduling_key(*d, *w))).collect();
        let mut enqueued_count = self.queue.next_wake();
        while self.calls.len() < self.parameters.max_in_flight {
            // Where none is left, nothing more can go until one of the waits ends.
            let Some(Reverse((.., destination))) = turns.pop() else { return sooner(wake, enqueued_count) };
            if self.schedule_request(destination, now, host, &mut enqueued_count)
                && self.queue.line(destination).is_some()
            {
                turns.push(Reverse(self.scheduling_key(destination, relative_wait[&destination])));
            }
        }
    }

    /// Orders destinations for the next call: the least claim goes first. Slots are few, and a slow call holds
    /// one for as long as several others would.
    fn scheduling_key(&self, destination: DestinationId, relative_wait: f64) -> (u64, u64, DestinationId) {
        let of_routes = self.circuits_of(destination).map(|c| self.slowness(Some(c)));
        let slow = of_routes.reduce(f64::min).unwrap_or(1.0);
        let scheduling_key =
            ((self.requests_in_flight(destination) + 1) as f64 * slow / relative_wait) as u64;
        (scheduling_key, self.destinations[&destination].traffic().last_turn, destination)
    }

    /// How long a destination's oldest message that may still keep its promise has waited, as a part of it.
    fn relative_wait(&self, destination: DestinationId, now: Duration) -> f64 {
        let latency_objective = |c: &QueueClass| {
            self.parameters.classes[c.priority.class].latency_objective.as_secs_f64().max(0.001)
        };
        let passed = |(c, by): (&QueueClass, Duration)| {
            1.0 - by.saturating_sub(now).as_secs_f64() / latency_objective(c)
        };
        let next = self.queue.line(destination).into_iter().flat_map(|line| line.next_promises(now));
        next.map(passed).filter(|p| *p < 1.0).fold(MIN_RELATIVE_WAIT, f64::max)
    }

    /// Drops what is too old to matter of a destination's records, before they are read.
    fn forget_stale_records(&mut self, destination: DestinationId, now: Duration) {
        let (overload_window, troubled_for) = (
            self.parameters.overload_window,
            self.parameters.overload_window + 2 * self.parameters.slow_start_duration,
        );
        let endpoints = self.destinations.get(&destination).map(|d| d.endpoints.clone());
        for id in endpoints.unwrap_or_default() {
            let Some(endpoint) = self.endpoints.get(&id) else { continue };
            if let Some(circuit) = self.circuits.get_mut(&self.scope_of(id, endpoint)) {
                circuit.expire_if_stale(now, &self.parameters);
            }
            if let Some(usage) = self.endpoints.get_mut(&id).and_then(Endpoint::usage_if_any) {
                usage.forget_stale_records(now, overload_window, troubled_for);
            }
        }
    }

    /// Symptom: every slot is out, some with calls to silent routes, while others could send. The call that
    /// is most overdue is cancelled, the more readily as it may run again elsewhere. Covers hanging, silent
    /// and very slow destinations; it can harm by repeating work that would still have been answered.
    fn cancel_straggler(&mut self, now: Duration, host: &mut dyn PolicyHost, wake: &mut Option<Duration>) {
        // Newest answer of a route that a message waits to go to, or of any where that route has not been
        // heard of lately; where all are slow alike, none is cancelled.
        let mut lively = Duration::ZERO;
        for id in self.queue.awake() {
            for (endpoint, t) in self.active(*id) {
                let scope = self.scope_of(endpoint, t);
                if self.admit(scope, t, now) != Admission::Admit {
                    continue;
                }
                let heard = self.circuits.get(&scope).map_or(Duration::ZERO, |c| c.last_answer);
                let recent_rate =
                    heard > Duration::ZERO && now.saturating_sub(heard) < self.parameters.window;
                lively = lively.max(if recent_rate { heard } else { self.last_answer });
            }
        }
        let mut worst: Option<(f64, (MessageId, AttemptNumber))> = None;
        for (key, d) in self.attempts.iter().filter(|(_, d)| !d.called_off && d.sent < lively) {
            let Some(circuit) = self.circuits.get(&d.scope).filter(|c| c.last_answer <= d.sent) else {
                continue;
            };
            let Some(message) = self.messages.get(d.message) else { continue };
            // Calling off an non-idempotent one loses it, so that it takes longer.
            let patience = if self.idempotency(message) == Idempotency::NonIdempotent {
                NON_IDEMPOTENT_PATIENCE
            } else {
                1.0
            };
            let allowed = self.straggler_after(circuit).mul_f64(patience);
            let ratio = now.saturating_sub(d.sent).as_secs_f64() / allowed.as_secs_f64();
            if ratio < 1.0 {
                sooner(wake, Some(d.sent + allowed));
            } else if worst.as_ref().is_none_or(|w| ratio > w.0) {
                worst = Some((ratio, key.clone()));
            }
        }
        if let Some((_, key)) = worst {
            self.cancel(self.attempts[&key].call, host);
        }
    }

    /// The order of classes. It comes by chance, with the square of their credit: strictly by it, a cheap
    /// one starves where a route is used up.
    fn draw_order(&mut self) -> Vec<u64> {
        let draw = |c: f64| (-self.order_random.random::<f64>().ln() / c.max(0.001).powi(2) * 1e6) as u64;
        self.parameters.classes.iter().map(|c| c.priority_weight).map(draw).collect()
    }

    /// The messages of a run whose keys are free, each with its rank; the least goes first: inside its share
    /// before beyond it, able to keep its promised time before late, by class, then by promised time.
    fn free<'r>(
        &'r self,
        run: &QueueSegment<'r>,
        order: &[u64],
        now: Duration,
    ) -> impl Iterator<Item = RankedMessage> + 'r {
        let queue_class = run.queue_class;
        // What may have run has a receipt that runs out, and goes before that.
        let late = run.late && !queue_class.possibly_executed;
        let rank = (
            queue_class.priority.over_quota,
            queue_class.errors > 1,
            late,
            order[queue_class.priority.class],
        );
        let keyed = self.parameters.classes[queue_class.priority.class].ordered;
        let free = move |key: &MessageKey| !keyed || self.ordering_key_free(&self.messages[*key], now);
        let of_run = run.entries().filter(move |(_, key)| free(key));
        of_run.map(move |(promise, key)| ((rank, promise), key))
    }

    /// The first message of a run that one of these endpoints may get. All of a queue_class fare alike, but for
    /// those that have receipts.
    fn first_able(
        &self,
        run: &QueueSegment,
        order: &[u64],
        to: &[EndpointId],
        now: Duration,
    ) -> Option<RankedMessage> {
        let most = if run.queue_class.possibly_executed { usize::MAX } else { 1 };
        self.free(run, order, now).take(most).find(|(_, key)| !self.able(*key, to, now).is_empty())
    }

    /// Those of some endpoints that a message may go to.
    fn able(&self, key: MessageKey, to: &[EndpointId], now: Duration) -> Vec<EndpointId> {
        let may = |t: &&EndpointId| self.may_attempt(&self.messages[key], **t, &self.endpoints[*t], now);
        to.iter().filter(may).copied().collect()
    }

    /// One call for the destination, if any message may go; says whether one went.
    fn schedule_request(
        &mut self,
        destination: DestinationId,
        now: Duration,
        host: &mut dyn PolicyHost,
        wake: &mut Option<Duration>,
    ) -> bool {
        let (mut open, mut until, mut paced) = (BTreeMap::new(), None, false);
        for (id, t) in self.active(destination) {
            let scope = self.scope_of(id, t);
            let leave = self.admit(scope, t, now);
            paced |= matches!(leave, Admission::Paced(_));
            match leave {
                Admission::Admit => drop(open.insert(id, (scope, false))),
                Admission::HalfOpenTrial => drop(open.insert(id, (scope, true))),
                Admission::Wait(at) | Admission::Paced(at) => sooner(&mut until, at),
            }
        }
        sooner(wake, until);
        if open.is_empty() {
            if !paced {
                self.queue.sleep(destination, until);
            }
            return false;
        }
        let order = self.draw_order();
        let runs: Vec<QueueSegment> = self.queue.runs(destination, now).collect();
        let of_kind = |trial| open.iter().filter(move |(_, o)| o.1 == trial).map(|(t, _)| *t).collect_vec();
        let (for_trial, for_others) = (of_kind(true), of_kind(false));
        let repeatable =
            |class: usize| self.parameters.classes[class].idempotency != Idempotency::NonIdempotent;
        let first = |run: &QueueSegment, to: &[EndpointId]| self.first_able(run, &order, to, now);
        // A trial may be lost, so that one goes with a message that may run again, if there is any.
        let of_trial = runs.iter().filter(|r| repeatable(r.queue_class.priority.class));
        let of_trial = of_trial.filter_map(|r| Some((r.queue_class.errors, first(r, &for_trial)?)));
        let lead = (of_trial.min().map(|(_, ranked)| ranked))
            .or_else(|| runs.iter().filter_map(|r| first(r, &for_others)).min())
            .or_else(|| runs.iter().filter_map(|r| first(r, &for_trial)).min());
        let Some((_, lead)) = lead else {
            sooner(wake, Some(now + self.parameters.recovery_delay / 4));
            return false;
        };
        let (tried, sent) = (self.able(lead, &for_trial, now), self.able(lead, &for_others, now));
        let trial = repeatable(self.messages[lead].class) && !tried.is_empty() || sent.is_empty();
        let mut able = if trial { tried } else { sent };
        // Symptom: one endpoint of a destination fails, or fails one class, while what else answers keeps
        // the circuit shut. It can harm by resting an endpoint for a call that was lost alone.
        let class = self.messages[lead].class;
        let rested = |id: &EndpointId| {
            let t = &self.endpoints[id];
            now >= t.usage().last_sent
                + self.parameters.recovery_delay * consecutive_failures(t, class).min(4)
        };
        if able.iter().any(rested) {
            able.retain(rested);
        }
        let endpoint = self.choose(&able, class, now);
        let leave @ (scope, _) = open[&endpoint];
        // Many messages in one call push a cold endpoint more than one does.
        let fits = 1.0
            + (self.slow_start_budget(scope, &self.endpoints[&endpoint], now).unwrap_or(1.0) - 1.0)
                / LOAD_PER_EXTRA_MESSAGE;
        let batch = if trial { 1 } else { self.batch(&self.endpoints[&endpoint]).min(fits as usize) };
        let may = |key: &MessageKey| {
            self.may_attempt(&self.messages[*key], endpoint, &self.endpoints[&endpoint], now)
        };
        let mut going = vec![lead];
        if batch > 1 {
            let runs = self.queue.runs(destination, now);
            let ranked = runs.map(|r| self.free(&r, &order, now)).kmerge().map(|(_, key)| key);
            going.extend(ranked.filter(|key| *key != lead).take(batch - 1).filter(may));
        }
        self.dispatch(going, endpoint, leave, now, host);
        true
    }

    /// One call that carries these messages.
    fn dispatch(
        &mut self,
        going: Vec<MessageKey>,
        endpoint: EndpointId,
        (scope, trial): (CircuitScope, bool),
        now: Duration,
        host: &mut dyn PolicyHost,
    ) {
        self.counter += 1;
        let call = RequestId(self.counter);
        self.calls.insert(call, going.len() as u32);
        let push = 1.0 + LOAD_PER_EXTRA_MESSAGE * (going.len() - 1) as f64;
        // One that timed out alone and went again would be a second copy of what its call still holds.
        let waits =
            going.iter().filter_map(|k| Some(self.response_within(self.messages.get(*k)?, scope, trial)));
        let together = waits.max().filter(|_| !self.parameters.hedging_allowed).unwrap_or_default();
        for key in going {
            let Some(message) = self.messages.get(key) else { continue };
            let left = message.deadline.saturating_sub(now);
            let response_within = self.response_within(message, scope, trial).max(together).min(left);
            let start_within = self.start_by(message, scope).saturating_sub(now).min(response_within);
            let further = message.attempts > 0;
            let then = after_dispatch(key, endpoint, now);
            let dispatch = Attempt::new(key, message, (endpoint, scope), (call, now), then);
            let Some((id, no)) = self.begin(dispatch) else { continue };
            if further {
                let retry_tokens = (self.retry_tokens(&self.endpoints[&endpoint]) - 1.0).max(0.0);
                self.change(&[endpoint], |t| t.retry_tokens = Some(retry_tokens));
            }
            if trial {
                let recovery_delay = self.recovery_delay(&self.endpoints[&endpoint], now);
                let circuit = self.circuit_mut(scope);
                circuit.reopen(now, recovery_delay);
                circuit.trial = Some((id.clone(), no));
            }
            host.start_attempt(
                &id,
                endpoint,
                AttemptTimeouts { request: call, start_within, response_within },
            );
        }
        self.record_request(call, scope, endpoint, now, push);
        let circuit = self.circuit_mut(scope);
        circuit.paced_until = circuit.paced_until.max(now + seconds(circuit.pacing_interval));
    }
}

/// A held message behind what decides whether it goes before another.
type RankedMessage = (((bool, bool, bool, u64), (Duration, u64)), MessageKey);

/// The step that an attempt leaves behind: hold the message again where its class and what is known of
/// the attempt allow that, else break it off.
fn after_dispatch(key: MessageKey, endpoint: EndpointId, sent: Duration) -> Next {
    Box::new(move |forwarder, host, now, outcome| {
        let Some(message) = forwarder.messages.get_mut(key) else { return };
        if !outcome.proves_not_executed() {
            let first = message.possibly_executed.map_or(sent, |m| m.0.min(sent));
            message.possibly_executed = Some((first, endpoint));
        }
        if !message.out.is_empty() {
            return;
        }
        if outcome == AttemptOutcome::Malformed {
            // No endpoint will ever read it, and whoever hands it in again is told the same.
            host.fail(&message.id);
            forwarder.remove_message(key, host);
        } else if forwarder.is_exhausted(key, now) {
            forwarder.finish_undelivered(key, now, host);
        } else {
            forwarder.hold(key);
        }
    })
}

// # Final answers.

impl DeliveryPolicy {
    /// Whether a message may not be dispatched again, whatever its destination does.
    fn is_exhausted(&self, key: MessageKey, now: Duration) -> bool {
        let Some(message) = self.messages.get(key) else { return true };
        message.attempts >= self.parameters.max_attempts
            || now >= message.deadline
            || (self.idempotency(message) == Idempotency::NonIdempotent
                && message.possibly_executed.is_some())
    }

    /// The one final answer for a message that is given up on: shed where handing it in again is harmless.
    fn finish_undelivered(&mut self, key: MessageKey, now: Duration, host: &mut dyn PolicyHost) {
        let Some(message) = self.messages.get(key) else { return };
        let unrun = message.possibly_executed.is_none() && message.out.is_empty();
        let receipt = message.possibly_executed.is_some() && now < self.key_valid_until(message);
        let repeatable = match self.idempotency(message) {
            Idempotency::Idempotent => true,
            Idempotency::WithKey { scope, .. } => receipt && scope == KeyScope::Region,
            Idempotency::NonIdempotent => false,
        };
        if (unrun || repeatable) && now < message.deadline {
            host.reject(&message.id, self.retry_after(message.destination, now));
        } else {
            host.fail(&message.id);
        }
        self.remove_message(key, host);
    }

    /// When a destination may take a message again, as far as that is known.
    fn retry_after(&self, destination: DestinationId, now: Duration) -> Option<Duration> {
        let most = self.parameters.max_retry_after?;
        let available_at = |c: &CircuitBreaker| c.retry_after_until.max(c.open_until.unwrap_or_default());
        let available_at = self.circuits_of(destination).map(available_at).min().unwrap_or_default();
        Some(available_at.saturating_sub(now).max(self.parameters.recovery_delay).min(most))
    }

    /// Messages that can no longer be completed are answered at once: no time for an answer is left, the
    /// asked wait of every endpoint ends too late, or a receipt has run out. While some time is left it can
    /// still be said that submitting again is harmless.
    fn expire_messages(&mut self, now: Duration, host: &mut dyn PolicyHost, wake: &mut Option<Duration>) {
        let answer = seconds(self.mean_latency.unwrap_or_default()).max(MIN_ANSWER_TIME);
        self.refresh_indices();
        let mut hopeless: Vec<_> = self.queue.ending(now, answer).into_iter().collect();
        hopeless
            .sort_by_key(|key| (self.messages[*key].destination, self.messages[*key].queued.map(|h| h.0)));
        for key in hopeless {
            self.finish_undelivered(key, now, host);
        }
        self.refresh_indices();
        sooner(wake, self.queue.next_end(answer));
    }

    /// Symptom: the holding room is full, and whatever comes next is rejected unseen. What would earn
    /// least goes instead. Of what is late, the one whose promise ended first; of what is not, the one that
    /// is promised last, of the destination with most held.
    fn evict_lowest_priority(&mut self, now: Duration, host: &mut dyn PolicyHost) {
        while self.messages.len() >= self.parameters.capacity {
            self.refresh_indices();
            let candidates = self.queue.worth_classes().filter_map(|queue_class| {
                let first = self.queue.earliest(queue_class)?;
                let late = first.by < now;
                let (len, p) = if late { (usize::MAX, first) } else { self.queue.longest(queue_class)? };
                let priority = (self.priority(&self.messages[p.key], now) * 1e6) as u64;
                let order = if late {
                    (0, p.by, p.arrival)
                } else {
                    (usize::MAX - len, Duration::MAX - p.by, u64::MAX - p.arrival)
                };
                Some(((priority, !late, order), p.key))
            });
            let Some((_, least)) = candidates.min() else { return };
            self.finish_undelivered(least, now, host);
        }
    }

    /// The credit that a message would earn now.
    fn priority(&self, message: &Message, now: Duration) -> f64 {
        let rate = &self.parameters.classes[message.class];
        let late = now.saturating_sub(message.objective_at).as_secs_f64();
        let left = if self.parameters.late_decay == LateDecay::Exponential {
            0.5_f64.powf(late / rate.latency_objective.as_secs_f64().max(0.001)).max(rate.late_weight)
        } else {
            let over = rate.deadline.saturating_sub(rate.latency_objective).as_secs_f64().max(0.001);
            1.0 - (1.0 - rate.late_weight) * (late / over).min(1.0)
        };
        let share = if message.over_quota { self.parameters.over_quota_weight } else { 1.0 };
        rate.priority_weight * left * share
    }
}

// # What the host tells.

impl DeliveryPolicy {
    /// A new instance, which knows the terms and nothing else.
    pub fn new(now: Duration, settings: Settings, host: &mut dyn PolicyHost) -> DeliveryPolicy {
        let random = [settings.seed, !settings.seed].map(Pcg32::seed_from_u64);
        let parameters = PolicyParameters::derive(settings);
        if parameters.poll_interval_limit.is_some() {
            host.subscribe(true);
        }
        DeliveryPolicy::with_parameters(parameters, random, now)
    }

    /// One line of the list of endpoints, between [`DeliveryPolicy::begin_endpoint_list`] and [`DeliveryPolicy::finish_endpoint_list`].
    pub fn update_endpoint(&mut self, listing: EndpointUpdate) {
        let slot_phase = self.random.random::<f64>();
        self.apply_update(&listing, slot_phase);
    }

    /// Asking for the list failed; the old one stands. Symptom: all ask again at once, and discovery, which
    /// turns calls away while too many wait, answers none. Each waits longer after each failure, by chance.
    pub fn discovery_failed(&mut self, now: Duration) {
        let Some(longest) = self.parameters.poll_interval_limit else { return };
        let rest = (2 * self.poll_backoff).clamp(self.parameters.recovery_delay.min(longest), longest);
        self.poll_backoff = rest;
        self.next_poll = Some(now + rest.mul_f64(0.5 + self.random.random::<f64>()));
    }

    /// A message has been submitted; one final answer is owed from here on. One of an unknown class is failed.
    pub fn submit(&mut self, now: Duration, message: NewMessage, host: &mut dyn PolicyHost) {
        let NewMessage { id, class, tenant, ordering_key, deadline, destination } = message;
        let Some(class) = self.parameters.classes.iter().position(|c| c.name == class) else {
            host.fail(&id);
            return;
        };
        let rate = &self.parameters.classes[class];
        let key = ordering_key.filter(|_| rate.ordered);
        // Counted from the first submission, which a client's repeat shares. One that comes with less time than
        // the promise is no late repeat: it is wanted until its limit, and not after.
        let whole =
            if now + rate.latency_objective < deadline { rate.deadline } else { rate.latency_objective };
        let objective_at = deadline.saturating_sub(whole.saturating_sub(rate.latency_objective));
        let tenant = tenant.and_then(|t| self.parameters.tenants.iter().position(|n| n.name == t));
        let over_quota = tenant.is_some_and(|t| self.over_quota(t, now));
        let times = (objective_at, deadline);
        let message = Message::new(id, class, key, destination, times, over_quota);
        self.take(message, now);
    }

    /// The host itself has submitted again what it took on before this start, with its attempts until then.
    pub fn restore(
        &mut self,
        now: Duration,
        id: &MessageId,
        past: &[PreviousAttempt],
        host: &mut dyn PolicyHost,
    ) {
        let Some(key) = self.messages.key_of(id) else { return };
        let Some(message) = self.messages.get_mut(key) else { return };
        message.attempts = past.len() as u32;
        let destination = message.destination;
        // accepted once, it is no late newcomer: the nearer half of what it has left is its promise.
        let soon = now + message.deadline.saturating_sub(now) / 2;
        message.objective_at = message.objective_at.max(soon);
        let unsure = past.iter().filter(|p| !p.proves_not_executed).map(|p| (p.started_at, p.endpoint));
        message.possibly_executed = unsure.min_by_key(|u| u.0);
        if message.possibly_executed.is_some() {
            // It may be running still.
            let (key, arrival) = (message.key, message.arrival);
            self.hold_off_key(key, arrival, now + self.parameters.ordering_hold_off);
        }
        self.requeue(key);
        if self.is_exhausted(key, now) {
            self.finish_undelivered(key, now, host);
        }
        // Symptom: many forwarders that start again at once send what each of them owes in one wave, and what
        // they knew of limits is gone with the process. Its routes are met as if they had refused.
        let of_destination =
            self.active(destination).map(|(id, t)| (self.scope_of(id, t), self.fair_share(t, now)));
        for (scope, fair_share) in
            of_destination.filter(|_| self.parameters.sparse_traffic).collect::<Vec<_>>()
        {
            let first = self.circuit_mut(scope).pacing_interval == 0.0;
            let drawn = if first { self.random.random::<f64>() } else { 0.0 };
            let circuit = self.circuit_mut(scope);
            if first {
                circuit.pacing_interval = OVERLISTED / fair_share;
                circuit.paced_until = now + seconds(drawn * circuit.pacing_interval);
            }
            circuit.paced_until = circuit.paced_until.min(soon);
        }
    }

    /// Whether a tenant's traffic is over its share now. A forwarder sees its own part only and cannot tell
    /// how traffic is spread, so that it judges by the whole share: what is over that here is over it
    /// everywhere. Two seconds of the share may come at once.
    fn over_quota(&mut self, tenant: usize, now: Duration) -> bool {
        let share = self.parameters.tenants[tenant].messages_per_second;
        !self.tenants[tenant].spend(share, share.max(1.0) * 2.0, now)
    }

    /// An attempt has ended; `over` says that its message is over, by this end or before it.
    #[allow(clippy::too_many_arguments)]
    pub fn attempt_finished(
        &mut self,
        now: Duration,
        id: &MessageId,
        no: AttemptNumber,
        outcome: AttemptOutcome,
        over: bool,
        host: &mut dyn PolicyHost,
    ) {
        let Some((dispatch, call_over)) = self.close(id, no) else { return };
        if let Some(endpoint) = self.endpoints.get(&dispatch.endpoint) {
            self.forget_stale_records(endpoint.destination, now);
        }
        if let AttemptOutcome::Rejected { retry_after: Some(wait) } = outcome {
            self.apply_retry_after(now, dispatch.scope, wait);
        }
        // Symptom: one message is answered with errors wherever it goes, and as the trial keeps its
        // destination restrained. Its second error tells of the message and not of the route. It can harm by
        // seeing an outage with errors later, where a single message is all that is sent.
        let mut blamed = false;
        if let Some(message) =
            self.messages.get_mut(dispatch.message).filter(|_| outcome == AttemptOutcome::Error)
        {
            blamed = message.errors > 0;
            message.errors += 1;
        }
        // What travels together ends together, and tells its tale once.
        if call_over && !blamed {
            let shut =
                |f: &DeliveryPolicy| f.circuits.get(&dispatch.scope).is_some_and(|c| c.open_until.is_some());
            let before = shut(self);
            self.record_outcome(&dispatch, now, outcome);
            if before != shut(self) && now >= self.next_log_at {
                self.next_log_at = now + LOG_INTERVAL;
                let what = if before { "back" } else { "restrained" };
                host.log(&format!("{what}: {:?}, after {outcome:?}", dispatch.scope));
            }
        }
        if matches!(
            outcome,
            AttemptOutcome::TimedOut | AttemptOutcome::ConnectionReset | AttemptOutcome::Cancelled
        ) {
            self.hold_off_key(dispatch.key, dispatch.arrival, now + self.parameters.ordering_hold_off);
        }
        self.leave_ordering_queue(id, dispatch.key, dispatch.arrival);
        if over {
            self.remove_message(dispatch.message, host);
        } else {
            (dispatch.then)(self, host, now, outcome);
        }
    }

    /// Rule 6. Each message of a call may be the one that is told to wait, or its answer speaks to them all.
    pub(crate) fn apply_retry_after(&mut self, now: Duration, scope: CircuitScope, wait: Duration) {
        if let Some(destination) = self.destination_of(scope) {
            self.forget_stale_records(destination, now);
        }
        self.touch(scope);
        // Symptom: all that was held goes at once when a long wait ends, to a destination that was shut and
        // is cold. A wait as long as the recovery delay is a restraint, and ends with a trial.
        let restrains = if self.parameters.sparse_traffic {
            self.parameters.overload_window
        } else {
            self.parameters.recovery_delay
        };
        let Some(circuit) = self.circuits.get_mut(&scope) else { return };
        circuit.retry_after_until = circuit.retry_after_until.max(now + wait);
        circuit.last_retry_after = wait;
        if wait >= restrains {
            circuit.reopen(now, wait);
        }
    }
}
