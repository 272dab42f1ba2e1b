//! Text of a recording's lines. The words are a stable format that is independent of the names in the code,
//! so that recordings of older builds stay comparable.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use reeddock::{
    AttemptOutcome, EndpointId, EndpointState, Idempotency, IdempotencyKeyScope, LateDecay, ListedWeights,
    MessageClass, PreviousAttempt, Settings,
};

use super::{PolicyCall, PolicyCommand, ReturnedValue};

/// Formats a duration in seconds with nine decimals, without loss of precision.
struct Seconds(Duration);

impl Display for Seconds {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        write!(f, "{}.{:09}", self.0.as_secs(), self.0.subsec_nanos())
    }
}

/// Formats an optional value; `None` is written as `-`.
struct OrDash<T>(Option<T>);

impl<T: Display> Display for OrDash<T> {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        match &self.0 {
            Some(value) => value.fmt(f),
            None => f.write_str("-"),
        }
    }
}

/// Formats endpoint numbers in brackets, separated by commas.
struct EndpointList<'a>(&'a [EndpointId]);

impl Display for EndpointList<'_> {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        f.write_str("[")?;
        for (position, endpoint) in self.0.iter().enumerate() {
            let comma = if position == 0 { "" } else { "," };
            write!(f, "{comma}{}", endpoint.0)?;
        }
        f.write_str("]")
    }
}

/// Formats the outcome of an attempt.
struct OutcomeText(AttemptOutcome);

impl Display for OutcomeText {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        match self.0 {
            AttemptOutcome::Completed => f.write_str("completed"),
            AttemptOutcome::Error => f.write_str("error"),
            AttemptOutcome::Rejected { retry_after } => {
                write!(f, "full wait={}", seconds_or_dash(retry_after))
            }
            AttemptOutcome::TimedOut => f.write_str("timed_out"),
            AttemptOutcome::NoConnection => f.write_str("no_connection"),
            AttemptOutcome::ConnectionReset => f.write_str("broken"),
            AttemptOutcome::Cancelled => f.write_str("called_off"),
            AttemptOutcome::NotSent => f.write_str("unsent"),
            AttemptOutcome::Malformed => f.write_str("unreadable"),
        }
    }
}

/// Returns the recording format's word for an endpoint state.
fn state_word(state: EndpointState) -> &'static str {
    match state {
        EndpointState::Active => "active",
        EndpointState::Draining => "leaving",
        EndpointState::Removed => "gone",
    }
}

/// Formats bytes as hexadecimal digits.
struct Hex<'a>(&'a [u8]);

impl Display for Hex<'_> {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// Formats the settings of a delivery policy.
struct SettingsText<'a>(&'a Settings);

impl Display for SettingsText<'_> {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        write_limits(self.0, f)?;
        write_slow_start(self.0, f)?;
        write_discovery_and_prices(self.0, f)?;
        self.0.classes.iter().try_for_each(|class| write_class(class, f))
    }
}

fn seconds_or_dash(duration: Option<Duration>) -> OrDash<Seconds> {
    OrDash(duration.map(Seconds))
}

fn write_limits(settings: &Settings, f: &mut Formatter) -> fmt::Result {
    write!(f, "seed={} forwarders={}", settings.seed, OrDash(settings.forwarders))?;
    write!(f, " zone={:?} slots={}", settings.zone, OrDash(settings.max_in_flight))?;
    write!(f, " room={} cap={}", OrDash(settings.max_pending_messages), OrDash(settings.max_attempts))?;
    let exponential = settings.late_decay == LateDecay::Exponential;
    write!(f, " halving={exponential} may_duplicate={}", settings.hedging_allowed)?;
    write!(f, " over_share_credit={}", OrDash(settings.over_quota_weight))?;
    write!(f, " come_back={}", seconds_or_dash(settings.max_retry_after))
}

fn write_slow_start(settings: &Settings, f: &mut Formatter) -> fmt::Result {
    write!(f, " warm_within={}", seconds_or_dash(settings.slow_start_duration))?;
    write!(f, " cold_from={}", OrDash(settings.slow_start_floor))?;
    write!(f, " fall_multiple={}", OrDash(settings.overload_capacity_multiple))?;
    write!(f, " tip_after={}", seconds_or_dash(settings.overload_window))?;
    write!(f, " key_rest={}", seconds_or_dash(settings.ordering_hold_off))
}

fn write_discovery_and_prices(settings: &Settings, f: &mut Formatter) -> fmt::Result {
    write!(f, " ask_within={}", seconds_or_dash(settings.max_poll_interval))?;
    write!(f, " idle={}", seconds_or_dash(settings.connection_idle_timeout))?;
    write!(f, " weights={}", WeightsText(settings.listed_weights))?;
    write!(f, " answers_report={}", settings.responses_carry_load_reports)?;
    write!(f, " cross_zone={}", OrDash(settings.cross_zone_price))?;
    write!(f, " connection={}", OrDash(settings.connection_price))?;
    // The recording format writes these lists as `Debug` writes tuples.
    let zone_fees: Vec<_> = settings.zone_fees.iter().map(|priced| (&priced.zone, priced.fee)).collect();
    let kinds = settings.endpoint_kinds.iter();
    let kinds: Vec<_> = kinds.map(|kind| (&kind.name, kind.circuit_per_endpoint, kind.max_batch)).collect();
    let tenants = settings.tenants.iter();
    let tenants: Vec<_> = tenants.map(|quota| (&quota.tenant, quota.messages_per_second)).collect();
    write!(f, " zone_fees={zone_fees:?} kinds={kinds:?} tenants={tenants:?}")
}

fn write_class(class: &MessageClass, f: &mut Formatter) -> fmt::Result {
    write!(f, " category={:?} effect={}", class.name, IdempotencyText(class.idempotency))?;
    write!(f, " ordered={} promised={}", class.ordered, seconds_or_dash(class.latency_objective))?;
    write!(f, " outer_limit={}", seconds_or_dash(class.deadline))?;
    write!(f, " credit={}", OrDash(class.priority_weight))?;
    write!(f, " late_credit={}", OrDash(class.late_weight))
}

/// Formats the meaning of the endpoint list's weights.
struct WeightsText(ListedWeights);

impl Display for WeightsText {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        f.write_str(match self.0 {
            ListedWeights::Unspecified => "Untold",
            ListedWeights::ApproximateRates => "RoughRates",
            ListedWeights::Rates => "Rates",
        })
    }
}

/// Formats the idempotency of a message class.
struct IdempotencyText(Option<Idempotency>);

impl Display for IdempotencyText {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        match self.0 {
            None => f.write_str("None"),
            Some(Idempotency::Idempotent) => f.write_str("Some(Pure)"),
            Some(Idempotency::NonIdempotent) => f.write_str("Some(Effectful)"),
            Some(Idempotency::WithKey { window, scope }) => {
                let group = match scope {
                    IdempotencyKeyScope::Region => "All",
                    IdempotencyKeyScope::Zone => "Zone",
                };
                write!(f, "Some(Receipted {{ window: {window:?}, group: {group} }})")
            }
        }
    }
}

/// Formats an attempt before a restart.
struct PreviousAttemptText<'a>(&'a PreviousAttempt);

impl Display for PreviousAttemptText<'_> {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        let previous = self.0;
        write!(
            f,
            " past={}@{}/{}",
            previous.endpoint.0,
            Seconds(previous.started_at),
            previous.proves_not_executed
        )
    }
}

impl Display for PolicyCall<'_> {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        f.write_str("calls ")?;
        match self {
            PolicyCall::New { now, settings } => {
                write!(f, "open now={} {}", Seconds(*now), SettingsText(settings))
            }
            PolicyCall::BeginEndpointList { complete } => write!(f, "list_begins whole={complete}"),
            PolicyCall::UpdateEndpoint(update) => {
                let (endpoint, destination) = (update.endpoint.0, update.destination.0);
                write!(f, "listed target={endpoint} destination={destination} {}", state_word(update.state))?;
                write!(f, " weight={} zone={:?} kind={:?}", OrDash(update.weight), update.zone, update.kind)
            }
            PolicyCall::FinishEndpointList => f.write_str("list_ends"),
            PolicyCall::AbortEndpointList => f.write_str("list_broken"),
            PolicyCall::DiscoveryFailed { now } => write!(f, "list_failed now={}", Seconds(*now)),
            PolicyCall::Submit { now, id, class, tenant, ordering_key, deadline, destination } => {
                write!(f, "hand_in now={} id={:?} category={class:?}", Seconds(*now), id.0)?;
                write!(f, " tenant={} key={}", OrDash(*tenant), OrDash(ordering_key.map(|key| key.0)))?;
                write!(f, " outer_limit={} destination={}", Seconds(*deadline), destination.0)
            }
            PolicyCall::Restore { now, id, previous } => {
                write!(f, "recall now={} id={:?}", Seconds(*now), id.0)?;
                previous.iter().try_for_each(|attempt| PreviousAttemptText(attempt).fmt(f))
            }
            PolicyCall::AttemptFinished { now, id, number, outcome, message_finished } => {
                write!(f, "settled now={} id={:?} no={}", Seconds(*now), id.0, number.0)?;
                write!(f, " over={message_finished} outcome={}", OutcomeText(*outcome))
            }
            PolicyCall::LoadReported { endpoint, report } => {
                write!(
                    f,
                    "reported target={} left={} limit={}",
                    endpoint.0, report.remaining_limit_share, report.limit_per_second
                )
            }
            PolicyCall::RetryAfterReceived { now, endpoint, retry_after } => {
                write!(f, "told_to_wait now={} target={}", Seconds(*now), endpoint.0)?;
                write!(f, " wait={}", Seconds(*retry_after))
            }
            PolicyCall::Withdraw { id } => write!(f, "end id={:?}", id.0),
            PolicyCall::BeginShutdown { deadline } => write!(f, "leaving by={}", Seconds(*deadline)),
            PolicyCall::TimerFired { now } => write!(f, "alarm now={}", Seconds(*now)),
            PolicyCall::HealthChecked { now, endpoint, healthy } => {
                write!(f, "probed now={} target={} well={healthy}", Seconds(*now), endpoint.0)
            }
            PolicyCall::GossipReceived { now, from, gossip } => {
                write!(f, "told now={} from={} note={}", Seconds(*now), from.0, Hex(gossip))
            }
            PolicyCall::RunDueWork { now } => write!(f, "turn now={}", Seconds(*now)),
        }
    }
}

impl Display for PolicyCommand<'_> {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        f.write_str("asks ")?;
        match self {
            PolicyCommand::StartAttempt { id, endpoint, timeouts } => {
                write!(f, "dispatch id={:?} target={} call={}", id.0, endpoint.0, timeouts.request.0)?;
                let (begin, end) = (Seconds(timeouts.start_within), Seconds(timeouts.response_within));
                write!(f, " begin_within={begin} time_out={end}")
            }
            PolicyCommand::CancelAttempt { id, number } => {
                write!(f, "call_off id={:?} no={}", id.0, number.0)
            }
            PolicyCommand::RejectMessage { id, retry_after } => {
                write!(f, "shed id={:?} come_back={}", id.0, seconds_or_dash(*retry_after))
            }
            PolicyCommand::FailMessage { id } => write!(f, "break_off id={:?}", id.0),
            PolicyCommand::SetTimer { after } => write!(f, "wake after={}", Seconds(*after)),
            PolicyCommand::StartHealthCheck { endpoint } => write!(f, "probe target={}", endpoint.0),
            PolicyCommand::SendGossip { peer, gossip } => {
                write!(f, "tell peer={} note={}", OrDash(peer.map(|peer| peer.0)), Hex(gossip))
            }
            PolicyCommand::WatchEndpointList { on } => write!(f, "subscribe on={on}"),
            PolicyCommand::FetchEndpointList => f.write_str("fetch_list"),
            PolicyCommand::ReportEvent { event } => write!(f, "log line={:?}", event.to_string()),
        }
    }
}

impl Display for ReturnedValue {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        f.write_str("returns ")?;
        match self {
            ReturnedValue::UnlistedEndpoints(endpoints) => {
                write!(f, "dropped targets={}", EndpointList(endpoints))
            }
            ReturnedValue::RemovedEndpoints(endpoints) => {
                write!(f, "forgotten targets={}", EndpointList(endpoints))
            }
            ReturnedValue::EndpointsSharingCircuit { endpoint, shared_by } => {
                write!(f, "waits_with target={} targets={}", endpoint.0, EndpointList(shared_by))
            }
            ReturnedValue::AttemptEndpoint { id, number, endpoint } => {
                let endpoint = OrDash(endpoint.map(|endpoint| endpoint.0));
                write!(f, "sent_to id={:?} no={} target={endpoint}", id.0, number.0)
            }
            ReturnedValue::KnowsDestination { destination, known } => {
                write!(f, "knows destination={} {known}", destination.0)
            }
        }
    }
}
