//! The JSON line wire, turned into calls on [`reeddock::Forwarder`] and back. Nothing is decided here.

use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::Arc;
use std::time::Duration;

use base64::{engine::general_purpose::STANDARD, Engine};
use reeddock::{
    DestinationId, DispatchNo, EnvelopeId, Forwarder, Host, KeyId, Listing, Outcome, PeerId, Spans, Standing,
    TargetId,
};
use reeddock_settings::{terms, ReportFields};
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
    forwarder: Forwarder,
    fields: Option<ReportFields>,
}

impl Instance {
    /// What stands beside an outcome, told before it.
    fn reported(&mut self, target: TargetId, usage: Option<&Value>) {
        let values = usage.and_then(Value::as_array);
        if let Some(report) = self.fields.zip(values).and_then(|(fields, values)| fields.read(values)) {
            self.forwarder.reported(target, report);
        }
    }
}

/// Collects what one instance asks for.
#[derive(Default)]
struct Actions(Vec<Value>);

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

impl Host for Actions {
    fn dispatch(&mut self, envelope: &EnvelopeId, target: TargetId, spans: Spans) {
        // The wire reads 0 as no time-out, and a negative one as none left.
        let wait = match micros(spans.time_out) {
            0 => json!(-1),
            some => json!(some),
        };
        self.0.push(json!(["Try", &*envelope.0, wait, target.0]));
    }

    fn call_off(&mut self, envelope: &EnvelopeId, dispatch: DispatchNo) {
        self.0.push(json!(["Revoke", &*envelope.0, dispatch.0]));
    }

    fn shed(&mut self, envelope: &EnvelopeId, come_back: Option<Duration>) {
        self.0.push(json!(["Shed", &*envelope.0, come_back.map(micros)]));
    }

    fn break_off(&mut self, envelope: &EnvelopeId) {
        self.0.push(json!(["RespondError", &*envelope.0]));
    }

    fn wake(&mut self, after: Duration) {
        self.0.push(json!(["Schedule", micros(after), "wake"]));
    }

    fn probe(&mut self, target: TargetId) {
        self.0.push(json!(["Ping", target.0]));
    }

    fn tell(&mut self, peer: Option<PeerId>, note: &[u8]) {
        let to = peer.map_or(json!("all"), |p| json!(p.0));
        self.0.push(json!(["WritePeer", to, STANDARD.encode(note)]));
    }

    fn subscribe(&mut self, on: bool) {
        self.0.push(json!(["Tail", on]));
    }

    fn fetch_list(&mut self) {
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

    fn envelope(&self, place: usize) -> Result<EnvelopeId, Fault> {
        self.text(place).map(|t| EnvelopeId(Arc::from(t)))
    }

    fn target(&self, place: usize) -> Result<TargetId, Fault> {
        self.small(place).map(TargetId)
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
                    let forwarder = Forwarder::open(now, terms(event.whole(0)?, info), host);
                    let fields = ReportFields::of(info);
                    self.instances.insert(instance, Instance { forwarder, fields });
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
            attached.forwarder.turn(now, host);
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
            "X" => attached.forwarder.list_failed(now),
            how @ ("D" | "F" | "C") => {
                let slot = event.whole(2)?;
                let lines =
                    lists.get(&slot).ok_or_else(|| format!("Sync: list {slot} was never registered"))?;
                attached.forwarder.list_begins(how != "D");
                for line in lines {
                    let values = line.as_array().ok_or("Register: an entry is not an array")?;
                    let entry = Event("Register entry", values);
                    let standing = match entry.text(4)? {
                        "active" => Standing::Active,
                        "leaving" => Standing::Leaving,
                        "left" => Standing::Gone,
                        other => return Err(format!("Register entry: unknown health {other:?}")),
                    };
                    attached.forwarder.listed(Listing {
                        target: entry.target(0)?,
                        destination: DestinationId(entry.whole(2)?),
                        standing,
                        weight: entry.at(1).and_then(Value::as_f64),
                        zone: entry.at(5).and_then(Value::as_str).unwrap_or_default(),
                        kind: entry.at(6).and_then(Value::as_str).unwrap_or_default(),
                    });
                }
                attached.forwarder.list_ends();
            }
            other => return Err(format!("Sync: unknown kind {other:?}")),
        },
        "Demand" => attached.forwarder.hand_in(
            now,
            event.envelope(0)?,
            event.text(1)?,
            event.at(2).and_then(Value::as_str),
            event.maybe_whole(3)?.map(KeyId),
            event.span(4)?,
            DestinationId(event.whole(6)?),
            host,
        ),
        "Settled" => {
            let wait = event.maybe_whole(6)?.filter(|ms| *ms > 0).map(Duration::from_millis);
            let outcome = match event.text(4)? {
                "delivered" => Outcome::Completed,
                "app_error" => Outcome::Error,
                "shed" => Outcome::Full(wait),
                "expired" => Outcome::TimedOut,
                "dial_failed" => Outcome::NoConnection,
                "dropped" => Outcome::Broken,
                "revoked" => Outcome::CalledOff,
                "unused" => Outcome::Unsent,
                other => return Err(format!("Settled: unknown outcome {other:?}")),
            };
            let over = event.at(5).and_then(Value::as_bool).unwrap_or_default();
            let no = DispatchNo(event.small(1)?);
            attached.reported(event.target(3)?, event.at(7));
            attached.forwarder.settled(now, &event.envelope(0)?, no, outcome, over, host);
        }
        "Left" => attached.forwarder.end(&event.envelope(0)?, host),
        "Alarm" => attached.forwarder.alarm(now),
        "HealthResult" => {
            let well = event.text(1)? == "delivered";
            attached.reported(event.target(0)?, event.at(3));
            attached.forwarder.probed(now, event.target(0)?, well);
        }
        "FromPeer" => {
            let note = STANDARD.decode(event.text(1)?).map_err(|_| event.wrong(1))?;
            attached.forwarder.told(now, PeerId(event.small(0)?), &note);
        }
        "Accepted" => attached.forwarder.begun(now, &event.envelope(0)?, DispatchNo(event.small(3)?), host),
        other => return Err(format!("unknown event {other:?}")),
    }
    Ok(())
}
