//! The text of a recording's lines. Its words are a format of their own and do not follow the names in the code, so
//! that recordings of older builds stay comparable (`docs/recordings.md` has the table).

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use reeddock::{
    AttemptOutcome, EndpointId, EndpointState, Idempotency, IdempotencyKeyScope, LateDecay, ListedWeights,
    MessageClass, PreviousAttempt, Settings,
};

use super::{PolicyCall, PolicyCommand, ReturnedValue};

/// A duration in seconds, with nine decimals: no digit of it is lost.
struct Seconds(Duration);

impl Display for Seconds {
    fn fmt(&self, to: &mut Formatter) -> fmt::Result {
        write!(to, "{}.{:09}", self.0.as_secs(), self.0.subsec_nanos())
    }
}

/// A value that may be absent, which is written as `-`.
struct OrDash<T>(Option<T>);

impl<T: Display> Display for OrDash<T> {
    fn fmt(&self, to: &mut Formatter) -> fmt::Result {
        match &self.0 {
            Some(value) => value.fmt(to),
            None => to.write_str("-"),
        }
    }
}

/// Endpoints by their numbers, in brackets.
struct EndpointList<'a>(&'a [EndpointId]);

impl Display for EndpointList<'_> {
    fn fmt(&self, to: &mut Formatter) -> fmt::Result {
        to.write_str("[")?;
        for (position, endpoint) in self.0.iter().enumerate() {
            let comma = if position == 0 { "" } else { "," };
            write!(to, "{comma}{}", endpoint.0)?;
        }
        to.write_str("]")
    }
}

/// The words of the recording format for an outcome.
struct OutcomeText(AttemptOutcome);

impl Display for OutcomeText {
    fn fmt(&self, to: &mut Formatter) -> fmt::Result {
        match self.0 {
            AttemptOutcome::Completed => to.write_str("completed"),
            AttemptOutcome::Error => to.write_str("error"),
            AttemptOutcome::Rejected { retry_after } => {
                write!(to, "full wait={}", seconds_or_dash(retry_after))
            }
            AttemptOutcome::TimedOut => to.write_str("timed_out"),
            AttemptOutcome::NoConnection => to.write_str("no_connection"),
            AttemptOutcome::ConnectionReset => to.write_str("broken"),
            AttemptOutcome::Cancelled => to.write_str("called_off"),
            AttemptOutcome::NotSent => to.write_str("unsent"),
            AttemptOutcome::Malformed => to.write_str("unreadable"),
        }
    }
}

/// The word of the recording format for an endpoint's state.
fn state_word(state: EndpointState) -> &'static str {
    match state {
        EndpointState::Active => "active",
        EndpointState::Draining => "leaving",
        EndpointState::Removed => "gone",
    }
}

/// Bytes as hexadecimal digits.
struct Hex<'a>(&'a [u8]);

impl Display for Hex<'_> {
    fn fmt(&self, to: &mut Formatter) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(to, "{byte:02x}"))
    }
}

/// The settings that a policy starts with.
struct SettingsText<'a>(&'a Settings);

impl Display for SettingsText<'_> {
    fn fmt(&self, to: &mut Formatter) -> fmt::Result {
        write_limits(self.0, to)?;
        write_slow_start(self.0, to)?;
        write_discovery_and_prices(self.0, to)?;
        self.0.classes.iter().try_for_each(|class| write_class(class, to))
    }
}

fn seconds_or_dash(duration: Option<Duration>) -> OrDash<Seconds> {
    OrDash(duration.map(Seconds))
}

fn write_limits(settings: &Settings, to: &mut Formatter) -> fmt::Result {
    write!(to, "seed={} forwarders={}", settings.seed, OrDash(settings.forwarders))?;
    write!(to, " zone={:?} slots={}", settings.zone, OrDash(settings.max_in_flight))?;
    write!(to, " room={} cap={}", OrDash(settings.max_pending_messages), OrDash(settings.max_attempts))?;
    let exponential = settings.late_decay == LateDecay::Exponential;
    write!(to, " halving={exponential} may_duplicate={}", settings.hedging_allowed)?;
    write!(to, " over_share_credit={}", OrDash(settings.over_quota_weight))?;
    write!(to, " come_back={}", seconds_or_dash(settings.max_retry_after))
}

fn write_slow_start(settings: &Settings, to: &mut Formatter) -> fmt::Result {
    write!(to, " warm_within={}", seconds_or_dash(settings.slow_start_duration))?;
    write!(to, " cold_from={}", OrDash(settings.slow_start_floor))?;
    write!(to, " fall_multiple={}", OrDash(settings.overload_capacity_multiple))?;
    write!(to, " tip_after={}", seconds_or_dash(settings.overload_window))?;
    write!(to, " key_rest={}", seconds_or_dash(settings.ordering_hold_off))
}

fn write_discovery_and_prices(settings: &Settings, to: &mut Formatter) -> fmt::Result {
    write!(to, " ask_within={}", seconds_or_dash(settings.max_poll_interval))?;
    write!(to, " idle={}", seconds_or_dash(settings.connection_idle_timeout))?;
    write!(to, " weights={}", WeightsText(settings.listed_weights))?;
    write!(to, " answers_report={}", settings.responses_carry_load_reports)?;
    write!(to, " cross_zone={}", OrDash(settings.cross_zone_price))?;
    write!(to, " connection={}", OrDash(settings.connection_price))?;
    // The format has these lists as Rust writes lists of tuples.
    let zone_fees: Vec<_> = settings.zone_fees.iter().map(|priced| (&priced.zone, priced.fee)).collect();
    let kinds = settings.endpoint_kinds.iter();
    let kinds: Vec<_> = kinds.map(|kind| (&kind.name, kind.circuit_per_endpoint, kind.max_batch)).collect();
    let tenants = settings.tenants.iter();
    let tenants: Vec<_> = tenants.map(|quota| (&quota.tenant, quota.messages_per_second)).collect();
    write!(to, " zone_fees={zone_fees:?} kinds={kinds:?} tenants={tenants:?}")
}

fn write_class(class: &MessageClass, to: &mut Formatter) -> fmt::Result {
    write!(to, " category={:?} effect={}", class.name, IdempotencyText(class.idempotency))?;
    write!(to, " ordered={} promised={}", class.ordered, seconds_or_dash(class.latency_objective))?;
    write!(to, " outer_limit={}", seconds_or_dash(class.deadline))?;
    write!(to, " credit={}", OrDash(class.priority_weight))?;
    write!(to, " late_credit={}", OrDash(class.late_weight))
}

/// The words of the recording format for what listed weights mean.
struct WeightsText(ListedWeights);

impl Display for WeightsText {
    fn fmt(&self, to: &mut Formatter) -> fmt::Result {
        to.write_str(match self.0 {
            ListedWeights::Unspecified => "Untold",
            ListedWeights::ApproximateRates => "RoughRates",
            ListedWeights::Rates => "Rates",
        })
    }
}

/// The words of the recording format for the idempotency of a class.
struct IdempotencyText(Option<Idempotency>);

impl Display for IdempotencyText {
    fn fmt(&self, to: &mut Formatter) -> fmt::Result {
        match self.0 {
            None => to.write_str("None"),
            Some(Idempotency::Idempotent) => to.write_str("Some(Pure)"),
            Some(Idempotency::NonIdempotent) => to.write_str("Some(Effectful)"),
            Some(Idempotency::WithKey { window, scope }) => {
                let group = match scope {
                    IdempotencyKeyScope::Region => "All",
                    IdempotencyKeyScope::Zone => "Zone",
                };
                write!(to, "Some(Receipted {{ window: {window:?}, group: {group} }})")
            }
        }
    }
}

/// An attempt before a restart.
struct PreviousAttemptText<'a>(&'a PreviousAttempt);

impl Display for PreviousAttemptText<'_> {
    fn fmt(&self, to: &mut Formatter) -> fmt::Result {
        let previous = self.0;
        write!(
            to,
            " past={}@{}/{}",
            previous.endpoint.0,
            Seconds(previous.started_at),
            previous.proves_not_executed
        )
    }
}

impl Display for PolicyCall<'_> {
    fn fmt(&self, to: &mut Formatter) -> fmt::Result {
        to.write_str("calls ")?;
        match self {
            PolicyCall::Open { now, settings } => {
                write!(to, "open now={} {}", Seconds(*now), SettingsText(settings))
            }
            PolicyCall::BeginEndpointList { whole } => write!(to, "list_begins whole={whole}"),
            PolicyCall::UpdateEndpoint(line) => {
                let (endpoint, destination) = (line.endpoint.0, line.destination.0);
                write!(to, "listed target={endpoint} destination={destination} {}", state_word(line.state))?;
                write!(to, " weight={} zone={:?} kind={:?}", OrDash(line.weight), line.zone, line.kind)
            }
            PolicyCall::FinishEndpointList => to.write_str("list_ends"),
            PolicyCall::AbortEndpointList => to.write_str("list_broken"),
            PolicyCall::DiscoveryFailed { now } => write!(to, "list_failed now={}", Seconds(*now)),
            PolicyCall::Submit { now, id, class, tenant, ordering_key, deadline, destination } => {
                write!(to, "hand_in now={} id={:?} category={class:?}", Seconds(*now), id.0)?;
                write!(to, " tenant={} key={}", OrDash(*tenant), OrDash(ordering_key.map(|key| key.0)))?;
                write!(to, " outer_limit={} destination={}", Seconds(*deadline), destination.0)
            }
            PolicyCall::Restore { now, id, previous } => {
                write!(to, "recall now={} id={:?}", Seconds(*now), id.0)?;
                previous.iter().try_for_each(|attempt| PreviousAttemptText(attempt).fmt(to))
            }
            PolicyCall::AttemptFinished { now, id, number, outcome, message_finished } => {
                write!(to, "settled now={} id={:?} no={}", Seconds(*now), id.0, number.0)?;
                write!(to, " over={message_finished} outcome={}", OutcomeText(*outcome))
            }
            PolicyCall::LoadReported { endpoint, report } => {
                write!(
                    to,
                    "reported target={} left={} limit={}",
                    endpoint.0, report.remaining_limit_share, report.limit_per_second
                )
            }
            PolicyCall::RetryAfterReceived { now, endpoint, retry_after } => {
                write!(to, "told_to_wait now={} target={}", Seconds(*now), endpoint.0)?;
                write!(to, " wait={}", Seconds(*retry_after))
            }
            PolicyCall::Withdraw { id } => write!(to, "end id={:?}", id.0),
            PolicyCall::BeginShutdown { deadline } => write!(to, "leaving by={}", Seconds(*deadline)),
            PolicyCall::TimerFired { now } => write!(to, "alarm now={}", Seconds(*now)),
            PolicyCall::HealthChecked { now, endpoint, healthy } => {
                write!(to, "probed now={} target={} well={healthy}", Seconds(*now), endpoint.0)
            }
            PolicyCall::GossipReceived { now, from, gossip } => {
                write!(to, "told now={} from={} note={}", Seconds(*now), from.0, Hex(gossip))
            }
            PolicyCall::RunDueWork { now } => write!(to, "turn now={}", Seconds(*now)),
        }
    }
}

impl Display for PolicyCommand<'_> {
    fn fmt(&self, to: &mut Formatter) -> fmt::Result {
        to.write_str("asks ")?;
        match self {
            PolicyCommand::StartAttempt { id, endpoint, timeouts } => {
                write!(to, "dispatch id={:?} target={} call={}", id.0, endpoint.0, timeouts.request.0)?;
                let (begin, end) = (Seconds(timeouts.start_within), Seconds(timeouts.response_within));
                write!(to, " begin_within={begin} time_out={end}")
            }
            PolicyCommand::Cancel { id, number } => write!(to, "call_off id={:?} no={}", id.0, number.0),
            PolicyCommand::Reject { id, retry_after } => {
                write!(to, "shed id={:?} come_back={}", id.0, seconds_or_dash(*retry_after))
            }
            PolicyCommand::Fail { id } => write!(to, "break_off id={:?}", id.0),
            PolicyCommand::SetTimer { after } => write!(to, "wake after={}", Seconds(*after)),
            PolicyCommand::StartHealthCheck { endpoint } => write!(to, "probe target={}", endpoint.0),
            PolicyCommand::SendGossip { peer, gossip } => {
                write!(to, "tell peer={} note={}", OrDash(peer.map(|p| p.0)), Hex(gossip))
            }
            PolicyCommand::Subscribe { on } => write!(to, "subscribe on={on}"),
            PolicyCommand::FetchEndpointList => to.write_str("fetch_list"),
            PolicyCommand::Report { event } => write!(to, "log line={:?}", event.to_string()),
        }
    }
}

impl Display for ReturnedValue {
    fn fmt(&self, to: &mut Formatter) -> fmt::Result {
        to.write_str("returns ")?;
        match self {
            ReturnedValue::DroppedEndpoints(endpoints) => {
                write!(to, "dropped targets={}", EndpointList(endpoints))
            }
            ReturnedValue::RemovedEndpoints(endpoints) => {
                write!(to, "forgotten targets={}", EndpointList(endpoints))
            }
            ReturnedValue::EndpointsSharingCircuit { endpoint, shared_by } => {
                write!(to, "waits_with target={} targets={}", endpoint.0, EndpointList(shared_by))
            }
            ReturnedValue::AttemptEndpoint { id, number, endpoint } => {
                let endpoint = OrDash(endpoint.map(|endpoint| endpoint.0));
                write!(to, "sent_to id={:?} no={} target={endpoint}", id.0, number.0)
            }
            ReturnedValue::KnowsDestination { destination, known } => {
                write!(to, "knows destination={} {known}", destination.0)
            }
        }
    }
}
