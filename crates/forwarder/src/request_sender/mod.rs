//! Requests to endpoints. A request carries one message or a batch, and each message has its own result.
//!
//! | module | purpose |
//! | --- | --- |
//! | `request` | requests and their results |
//! | `response_remainder` | reads the rest of responses whose results are known |
//! | `send_state` | tracks which messages of a batch are sent when its connection is open |
//! | `sent_batch` | the messages that a request carries when it is sent |
//! | `sender` | sends a request on a connection and reads its response |
//! | `supervisor` | applies time limits and cancellations to a request in flight, and reports results |

mod request;
mod response_remainder;
mod send_state;
mod sender;
mod sent_batch;
mod supervisor;

pub use request::{BatchMessage, EndpointRequest, MessageResult, PendingAttempt, RequestResult};
use send_state::BatchSendState;
pub use sender::RequestSender;
pub use supervisor::run_request;
