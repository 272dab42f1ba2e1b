//! What the sockets tell the owner of the decision module, and the watch on the list of endpoints.

use std::time::Duration;

use reeddock::{AttemptNumber, EndpointId, LoadReport, MessageId};
use reeddock_protocol::{AttemptResult, ClientResponse, ListEvent, Submission};
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::malformed_list::MalformedList;

/// What the sockets tell the owner.
pub enum Event {
    Submission {
        submit: Submission,
        at: Instant,
        reply: oneshot::Sender<ClientResponse>,
    },
    Ended {
        message: MessageId,
        no: AttemptNumber,
        result: AttemptResult,
    },
    /// An endpoint asked for a wait while it took messages on.
    Wait {
        endpoint: EndpointId,
        wait: Duration,
    },
    /// An answer told of the limit of its endpoint's route; what it ended comes after it.
    Reported {
        endpoint: EndpointId,
        report: LoadReport,
    },
    /// Some of what a watch tells, in its order: [`LIST_PIECE`](crate::list_reader::LIST_PIECE) events at most.
    List(Vec<ListEvent>),
    /// A list came that can't be read; what it told before that holds.
    Unreadable(MalformedList),
    /// A watch has ended, perhaps in the middle of a list.
    ListFailed,
    /// The platform has these notices.
    Told(Vec<MessageId>),
    /// The program is to stop by then.
    Leaving(Instant),
    /// No client can hand anything in any more.
    ClientsGone,
}
