//! What the module asks for in its turn, gathered and sorted for who carries it out.

use std::time::Duration;

use reeddock::{DispatchNo, EnvelopeId, Host, PeerId, Spans, TargetId};
use reeddock_wal::Record;
use reeddock_protocol::{Answer, GivenUp, Letter, Notice};

use super::State;

/// What the module asked for, in its order.
enum Asked {
    Dispatch(EnvelopeId, TargetId, Spans),
    CallOff(EnvelopeId, DispatchNo),
    End(EnvelopeId, GivenUp),
}

#[derive(Default)]
pub(super) struct Desk {
    asked: Vec<Asked>,
    pub(super) wakes: Vec<Duration>,
}

impl Host for Desk {
    fn dispatch(&mut self, envelope: &EnvelopeId, target: TargetId, spans: Spans) {
        self.asked.push(Asked::Dispatch(envelope.clone(), target, spans));
    }

    fn call_off(&mut self, envelope: &EnvelopeId, dispatch: DispatchNo) {
        self.asked.push(Asked::CallOff(envelope.clone(), dispatch));
    }

    fn shed(&mut self, envelope: &EnvelopeId, come_back: Option<Duration>) {
        self.asked.push(Asked::End(envelope.clone(), GivenUp::Shed(come_back)));
    }

    fn break_off(&mut self, envelope: &EnvelopeId) {
        self.asked.push(Asked::End(envelope.clone(), GivenUp::BrokenOff));
    }

    fn wake(&mut self, after: Duration) {
        self.wakes.push(after);
    }

    // Nothing on sockets stands behind these: targets may not be probed, forwarders share nothing, and the
    // watch on the list is always open.
    fn probe(&mut self, _: TargetId) {}
    fn tell(&mut self, _: Option<PeerId>, _: &[u8]) {}
    fn subscribe(&mut self, _: bool) {}
    fn fetch_list(&mut self) {}

    fn log(&mut self, line: &str) {
        tracing::info!("{line}");
    }
}

/// What one turn of the module comes down to.
#[derive(Default)]
pub(super) struct Orders {
    pub going: Vec<(EnvelopeId, TargetId, Spans)>,
    pub called_off: Vec<(EnvelopeId, DispatchNo)>,
    pub notices: Vec<Notice>,
}

/// A dispatch that has its number and is about to go.
pub(super) struct Departing {
    pub letter: Letter,
    pub no: DispatchNo,
    pub target: TargetId,
    pub spans: Spans,
}

impl State {
    /// Sorts what the module asked for. What was handed in since the last turn and is over again is answered
    /// here, as nothing of it was written down.
    pub(super) fn orders(&mut self) -> Orders {
        let mut orders = Orders::default();
        for asked in std::mem::take(&mut self.desk.asked) {
            match asked {
                Asked::Dispatch(id, target, spans) => orders.going.push((id, target, spans)),
                Asked::CallOff(id, no) => orders.called_off.push((id, no)),
                Asked::End(id, end) => {
                    if let Some(at) = self.fresh.iter().position(|f| f.id == id) {
                        let _ = self.fresh.remove(at).reply.send(match end {
                            GivenUp::Shed(come_back) => Answer::Shed(come_back),
                            GivenUp::BrokenOff => Answer::BrokenOff,
                        });
                    } else if self.forget(&id) {
                        tracing::debug!(id = &*id.0, ?end, "given up");
                        self.records.push(Record::Ended { id: id.0.to_string(), notice: Some(end) });
                        orders.notices.push(Notice { id, end });
                    }
                }
            }
        }
        orders
    }

    /// Dispatches of an envelope are numbered in the order in which the module asked for them.
    pub(super) fn numbered(&mut self, going: Vec<(EnvelopeId, TargetId, Spans)>) -> Vec<Departing> {
        let mut departing = Vec::new();
        for (id, target, spans) in going {
            let Some(owed) = self.owed.get_mut(&id) else { continue };
            let no = DispatchNo(owed.dispatches);
            owed.dispatches += 1;
            tracing::debug!(id = &*id.0, no = no.0, ?target, ?spans, "a dispatch begins");
            let (body, idempotency_key) = (owed.body.clone(), owed.idempotency_key.clone());
            departing.push(Departing { letter: Letter { id, idempotency_key, body }, no, target, spans });
        }
        departing
    }
}
