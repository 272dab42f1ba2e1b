//! Processing of batches of events for several instances.

use std::any::Any;
use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::time::Duration;

use serde_json::{json, Value};

use crate::commands::Commands;
use crate::event::InstanceEvent;
use crate::event_fields::EventFields;
use crate::instance::{Instance, RegisteredLists};
use crate::AdapterError;

/// The forwarders of a simulation. They share only the registered endpoint lists, as the simulator's wire
/// defines.
#[derive(Default)]
pub struct SimulationAdapter {
    instances: BTreeMap<u64, Instance>,
    lists: RegisteredLists,
}

impl SimulationAdapter {
    /// Applies a batch and returns its reply. Batch and reply are one line of JSON each.
    ///
    /// # Errors
    ///
    /// [`AdapterError`] if the batch is invalid.
    pub fn process_batch(&mut self, line: &str) -> Result<String, AdapterError> {
        let batch: Value = serde_json::from_str(line)?;
        let clock = batch.get("wallUs").and_then(Value::as_u64).ok_or(AdapterError::MissingClock)?;
        let now = Duration::from_micros(clock);
        let serial = batch.get("serial").filter(|s| s.is_u64()).ok_or(AdapterError::MissingSerial)?;
        let instance_batches =
            batch.get("forwarders").and_then(Value::as_array).ok_or(AdapterError::MissingForwarders)?;
        let mut replies = Vec::new();
        for instance_batch in instance_batches {
            replies.extend(self.process_instance(instance_batch, now)?);
        }
        Ok(json!({"serial": serial, "forwarders": replies}).to_string())
    }

    /// Applies the events of a batch for one instance and returns the commands of the instance; `None` if
    /// there are none.
    ///
    /// A panic of the delivery policy is reported in the reply with the number of its instance.
    fn process_instance(
        &mut self,
        instance_batch: &Value,
        now: Duration,
    ) -> Result<Option<Value>, AdapterError> {
        let number = instance_batch.get("i").and_then(Value::as_u64).ok_or(AdapterError::MissingInstance)?;
        let events = instance_batch.get("in").and_then(Value::as_array).ok_or(AdapterError::MissingEvents)?;
        let mut commands = Commands::default();
        let apply = || self.apply_events(number, events, now, &mut commands);
        match catch_unwind(AssertUnwindSafe(apply)) {
            Ok(applied) => applied?,
            Err(cause) => commands = Commands::panicked(panic_message(cause.as_ref())),
        }
        let commands = commands.into_values();
        Ok((!commands.is_empty()).then(|| json!({"i": number, "cmds": commands})))
    }

    fn apply_events(
        &mut self,
        number: u64,
        events: &[Value],
        now: Duration,
        commands: &mut Commands,
    ) -> Result<(), AdapterError> {
        for event in events {
            self.apply_event(number, &EventFields::try_from(event)?, now, commands)?;
        }
        if let Some(instance) = self.instances.get_mut(&number) {
            instance.run_due_work(now, commands);
        }
        Ok(())
    }

    fn apply_event(
        &mut self,
        number: u64,
        fields: &EventFields,
        now: Duration,
        commands: &mut Commands,
    ) -> Result<(), AdapterError> {
        match fields.name {
            "Register" => {
                let entries = fields.array(1)?;
                self.lists.insert(fields.integer(0)?, entries.to_vec());
            }
            "Attach" => {
                let settings = fields.object(1)?;
                let instance = Instance::new(fields.integer(0)?, settings, now, commands);
                self.instances.insert(number, instance);
            }
            "Retire" => {
                self.instances.remove(&number);
                // Commands that the instance gave earlier in this batch are no longer valid.
                commands.clear();
            }
            _ => {
                let instance = self.instances.get_mut(&number).ok_or_else(|| AdapterError::NotAttached {
                    event: fields.name.to_owned(),
                    instance: number,
                })?;
                instance.apply_event(InstanceEvent::try_from(fields)?, &self.lists, now, commands)?;
            }
        }
        Ok(())
    }
}

/// Returns the message of a panic.
fn panic_message(cause: &(dyn Any + Send)) -> &str {
    let owned = cause.downcast_ref::<String>().map(String::as_str);
    owned.or(cause.downcast_ref::<&str>().copied()).unwrap_or("delivery policy panicked without a message")
}
