//! Messages that wait to be sent, indexed by the questions that the scheduler asks: which message of a destination
//! may go next, which messages expire next, which has the lowest priority, and which destinations are to be checked.
//!
//! The indices decide nothing: orders and thresholds stand in the policy. A [`DestinationQueue`] exists for each
//! destination with queued messages. The indices over all destinations hold a few entries for each destination and
//! none for each message; a destination queue that changes is marked stale, and its entries are renewed before
//! they are next read.
//!
//! | module | job |
//! | --- | --- |
//! | `position` | what a message is queued under, and the orders that follow from it |
//! | `segment` | the messages of one class that have, or have not, missed their latency objective |
//! | `destination_queue` | the queue of one destination |
//! | `indices` | the indices over all destination queues |
//! | `wake_schedule` | which destinations are checked now, and when the others are |
//! | `message_queue` | all of it together, as the policy uses it |
//! | `consistency` | debug builds: every index against a full walk |

#[cfg(debug_assertions)]
mod consistency;
mod destination_queue;
mod indices;
mod message_queue;
mod position;
mod segment;
mod wake_schedule;

pub(crate) use message_queue::MessageQueue;
pub(crate) use position::{LongestQueue, PriorityClass, QueueClass, QueuePosition};
pub(crate) use segment::QueueSegment;
