//! Requests to endpoints: each carries one message or a batch, and every message of it ends with a result of its own.
//!
//! | module | its job |
//! | --- | --- |
//! | `request` | the parts of a request and its results |
//! | `departure` | which messages of a batch are still sent once its connection is open |
//! | `sender` | sends one request on a connection and reads its response |
//! | `supervisor` | waits for one request with the time limits and cancellations of its messages, and reports results |

mod departure;
mod request;
mod sender;
mod supervisor;

use departure::BatchDeparture;
pub use request::{BatchMessage, EndpointRequest, MessageResult, PendingAttempt, RequestResult};
pub use sender::RequestSender;
pub use supervisor::run_request;
