//! The JSON line wire, turned into calls on [`reeddock::DeliveryPolicy`] and back. Nothing is decided here.

use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::Arc;
use std::time::Duration;

use base64::{engine::general_purpose::STANDARD, Engine};
use reeddock::{
    AttemptNumber, AttemptOutcome, AttemptTimeouts, DeliveryPolicy, DestinationId, EndpointId, EndpointState,
    EndpointUpdate, MessageId, NewMessage, OrderingKey, PeerId, PolicyHost,
};
use reeddock_settings::{parse_settings, ReportFields};
use serde_json::{json, Value};

/// What is wrong with a batch, in one line.
pub type Fault = String;

/// All instances of one process; they share nothing but the numbered lists, which the wire shares.
#[derive(Default)]
pub struct Wire {
    instances: BTreeMap<u64, Instance>,
    lists: BTreeMap<u64, Vec<Value>>,
}

struct Instance {
    policy: DeliveryPolicy,
    fields: Option<ReportFields>,
}

impl Instance {
    /// What stands beside an outcome, told before it.
    fn reported(&mut self, endpoint: EndpointId, usage: Option<&Value>) {
        let values = usage.and_then(Value::as_array);
        if let Some(report) = self.fields.zip(values).and_then(|(fields, values)| fields.read(values)) {
            self.policy.load_reported(endpoint, report);
        }
    }
}

/// Collects what one instance asks for.
#[derive(Default)]
struct Actions(Vec<Value>);

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

impl PolicyHost for Actions {
    fn start_attempt(&mut self, message: &MessageId, endpoint: EndpointId, spans: AttemptTimeouts) {
        // The wire reads 0 as no time-out, and a negative one as none left.
        let wait = match micros(spans.response_within) {
            0 => json!(-1),
            some => json!(some),
        };
        self.0.push(json!(["Try", &*message.0, wait, endpoint.0]));
    }

    fn cancel(&mut self, message: &MessageId, dispatch: AttemptNumber) {
        self.0.push(json!(["Revoke", &*message.0, dispatch.0]));
    }

    fn reject(&mut self, message: &MessageId, retry_after: Option<Duration>) {
        self.0.push(json!(["Shed", &*message.0, retry_after.map(micros)]));
    }

    fn fail(&mut self, message: &MessageId) {
        self.0.push(json!(["RespondError", &*message.0]));
    }

    fn set_timer(&mut self, after: Duration) {
        self.0.push(json!(["Schedule", micros(after), "wake"]));
    }

    fn start_health_check(&mut self, endpoint: EndpointId) {
        self.0.push(json!(["Ping", endpoint.0]));
    }

    fn send_gossip(&mut self, peer: Option<PeerId>, note: &[u8]) {
        let to = peer.map_or(json!("all"), |p| json!(p.0));
        self.0.push(json!(["WritePeer", to, STANDARD.encode(note)]));
    }

    fn subscribe(&mut self, on: bool) {
        self.0.push(json!(["Tail", on]));
    }

    fn fetch_endpoint_list(&mut self) {
        self.0.push(json!(["Fetch"]));
    }

    fn log(&mut self, line: &str) {
        self.0.push(json!(["SayLog", line]));
    }
}

/// The values of one event, read by place.
struct Event<'a>(&'a str, &'a [Value]);

impl<'a> Event<'a> {
    fn of(value: &'a Value) -> Result<Self, Fault> {
        let list = value.as_array().ok_or("an event is not an array")?;
        let name = list.first().and_then(Value::as_str).ok_or("an event has no name")?;
        Ok(Event(name, &list[1..]))
    }

    fn at(&self, place: usize) -> Option<&'a Value> {
        self.1.get(place).filter(|v| !v.is_null())
    }

    fn wrong(&self, place: usize) -> Fault {
        format!("{}: value {} is missing or malformed", self.0, place + 1)
    }

    fn text(&self, place: usize) -> Result<&'a str, Fault> {
        self.at(place).and_then(Value::as_str).ok_or_else(|| self.wrong(place))
    }

    fn whole(&self, place: usize) -> Result<u64, Fault> {
        self.at(place).and_then(Value::as_u64).ok_or_else(|| self.wrong(place))
    }

    fn maybe_whole(&self, place: usize) -> Result<Option<u64>, Fault> {
        self.at(place).map(|v| v.as_u64().ok_or_else(|| self.wrong(place))).transpose()
    }

    fn span(&self, place: usize) -> Result<Duration, Fault> {
        self.whole(place).map(Duration::from_micros)
    }

    fn small(&self, place: usize) -> Result<u32, Fault> {
        u32::try_from(self.whole(place)?).map_err(|_| self.wrong(place))
    }

    fn message(&self, place: usize) -> Result<MessageId, Fault> {
        self.text(place).map(|t| MessageId(Arc::from(t)))
    }

    fn endpoint(&self, place: usize) -> Result<EndpointId, Fault> {
        self.small(place).map(EndpointId)
    }
}

impl Wire {
    /// Answers one batch with one reply, both a line of JSON.
    pub fn answer(&mut self, line: &str) -> Result<String, Fault> {
        let batch: Value = serde_json::from_str(line).map_err(|e| format!("batch is not JSON: {e}"))?;
        let clock = batch.get("wallUs").and_then(Value::as_u64).ok_or("batch has no clock in wallUs")?;
        let now = Duration::from_micros(clock);
        let serial = batch.get("serial").filter(|s| s.is_u64()).ok_or("batch has no serial")?;
        let parts = batch.get("forwarders").and_then(Value::as_array).ok_or("batch has no forwarders")?;
        let mut replies = Vec::new();
        for part in parts {
            let instance =
                part.get("i").and_then(Value::as_u64).ok_or("a part has no instance number in i")?;
            let events = part.get("in").and_then(Value::as_array).ok_or("a part has no events in in")?;
            let mut actions = Actions::default();
            let played = catch_unwind(AssertUnwindSafe(|| self.play(instance, events, now, &mut actions)));
            match played {
                Ok(outcome) => outcome?,
                Err(cause) => {
                    let text = cause.downcast_ref::<String>().map(String::as_str);
                    let text =
                        text.or(cause.downcast_ref::<&str>().copied()).unwrap_or("the module panicked");
                    actions = Actions(vec![json!(["Panic", text])]);
                }
            }
            if !actions.0.is_empty() {
                replies.push(json!({"i": instance, "cmds": actions.0}));
            }
        }
        Ok(json!({"serial": serial, "forwarders": replies}).to_string())
    }

    fn play(
        &mut self,
        instance: u64,
        events: &[Value],
        now: Duration,
        host: &mut Actions,
    ) -> Result<(), Fault> {
        for value in events {
            let event = Event::of(value)?;
            match event.0 {
                "Register" => {
                    let lines = event.at(1).and_then(Value::as_array).ok_or_else(|| event.wrong(1))?;
                    self.lists.insert(event.whole(0)?, lines.clone());
                }
                "Attach" => {
                    let info = event.at(1).and_then(Value::as_object).ok_or_else(|| event.wrong(1))?;
                    let policy = DeliveryPolicy::new(now, parse_settings(event.whole(0)?, info), host);
                    let fields = ReportFields::of(info);
                    self.instances.insert(instance, Instance { policy, fields });
                }
                "Retire" => {
                    self.instances.remove(&instance);
                    // What it asked for earlier in this batch is void with it.
                    host.0.clear();
                }
                _ => {
                    let attached = self.instances.get_mut(&instance);
                    let attached = attached
                        .ok_or_else(|| format!("{}: instance {instance} is not attached", event.0))?;
                    tell(attached, &self.lists, &event, now, host)?;
                }
            }
        }
        if let Some(attached) = self.instances.get_mut(&instance) {
            attached.policy.run_due_work(now, host);
        }
        Ok(())
    }
}

fn tell(
    attached: &mut Instance,
    lists: &BTreeMap<u64, Vec<Value>>,
    event: &Event,
    now: Duration,
    host: &mut Actions,
) -> Result<(), Fault> {
    match event.0 {
        "Sync" => match event.text(0)? {
            "X" => attached.policy.discovery_failed(now),
            how @ ("D" | "F" | "C") => {
                let slot = event.whole(2)?;
                let lines =
                    lists.get(&slot).ok_or_else(|| format!("Sync: list {slot} was never registered"))?;
                attached.policy.begin_endpoint_list(how != "D");
                for line in lines {
                    let values = line.as_array().ok_or("Register: an entry is not an array")?;
                    let entry = Event("Register entry", values);
                    let state = match entry.text(4)? {
                        "active" => EndpointState::Active,
                        "leaving" => EndpointState::Draining,
                        "left" => EndpointState::Removed,
                        other => return Err(format!("Register entry: unknown health {other:?}")),
                    };
                    attached.policy.update_endpoint(EndpointUpdate {
                        endpoint: entry.endpoint(0)?,
                        destination: DestinationId(entry.whole(2)?),
                        state,
                        weight: entry.at(1).and_then(Value::as_f64),
                        zone: entry.at(5).and_then(Value::as_str).unwrap_or_default(),
                        kind: entry.at(6).and_then(Value::as_str).unwrap_or_default(),
                    });
                }
                attached.policy.finish_endpoint_list();
            }
            other => return Err(format!("Sync: unknown kind {other:?}")),
        },
        "Demand" => {
            let message = NewMessage {
                id: event.message(0)?,
                class: event.text(1)?,
                tenant: event.at(2).and_then(Value::as_str),
                ordering_key: event.maybe_whole(3)?.map(OrderingKey),
                deadline: event.span(4)?,
                destination: DestinationId(event.whole(6)?),
            };
            attached.policy.submit(now, message, host);
        }
        "Settled" => {
            let wait = event.maybe_whole(6)?.filter(|ms| *ms > 0).map(Duration::from_millis);
            let outcome = match event.text(4)? {
                "delivered" => AttemptOutcome::Completed,
                "app_error" => AttemptOutcome::Error,
                "shed" => AttemptOutcome::Rejected { retry_after: wait },
                "expired" => AttemptOutcome::TimedOut,
                "dial_failed" => AttemptOutcome::NoConnection,
                "dropped" => AttemptOutcome::ConnectionReset,
                "revoked" => AttemptOutcome::Cancelled,
                "unused" => AttemptOutcome::NotSent,
                other => return Err(format!("Settled: unknown outcome {other:?}")),
            };
            let over = event.at(5).and_then(Value::as_bool).unwrap_or_default();
            let no = AttemptNumber(event.small(1)?);
            attached.reported(event.endpoint(3)?, event.at(7));
            attached.policy.attempt_finished(now, &event.message(0)?, no, outcome, over, host);
        }
        "Left" => attached.policy.withdraw(&event.message(0)?, host),
        "Alarm" => attached.policy.timer_fired(now),
        "HealthResult" => {
            let well = event.text(1)? == "delivered";
            attached.reported(event.endpoint(0)?, event.at(3));
            attached.policy.health_checked(now, event.endpoint(0)?, well);
        }
        "FromPeer" => {
            let note = STANDARD.decode(event.text(1)?).map_err(|_| event.wrong(1))?;
            attached.policy.gossip_received(now, PeerId(event.small(0)?), &note);
        }
        "Accepted" => {
            attached.policy.response_started(now, &event.message(0)?, AttemptNumber(event.small(3)?), host)
        }
        other => return Err(format!("unknown event {other:?}")),
    }
    Ok(())
}
