//! What the sockets tell the owner of the decision module, and the watch on the list of targets.

use std::time::Duration;

use reeddock::{DispatchNo, EnvelopeId, LimitReport, TargetId};
use reeddock_protocol::{Answer, Ending, HandIn, ListEvent};
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::unreadable_list::UnreadableList;

/// What the sockets tell the owner.
pub enum Event {
    HandIn {
        hand_in: HandIn,
        at: Instant,
        reply: oneshot::Sender<Answer>,
    },
    Ended {
        envelope: EnvelopeId,
        no: DispatchNo,
        ending: Ending,
    },
    /// A target asked for a wait while it took envelopes on.
    Wait {
        target: TargetId,
        wait: Duration,
    },
    /// An answer told of the limit of its target's route; what it ended comes after it.
    Reported {
        target: TargetId,
        report: LimitReport,
    },
    /// Some of what a watch tells, in its order: [`LIST_PIECE`](crate::list_reader::LIST_PIECE) events at most.
    List(Vec<ListEvent>),
    /// A list came that can't be read; what it told before that holds.
    Unreadable(UnreadableList),
    /// A watch has ended, perhaps in the middle of a list.
    ListFailed,
    /// The platform has these notices.
    Told(Vec<EnvelopeId>),
    /// The program is to stop by then.
    Leaving(Instant),
    /// No client can hand anything in any more.
    ClientsGone,
}
