//! Messages that wait to be sent, with indices for the queries of the scheduler: the next message of a
//! destination, the next messages to expire, the message with the lowest priority, and the destinations to
//! check.
//!
//! Each destination with queued messages has a [`DestinationQueue`]. The indices over all destinations hold a
//! few entries per destination and none per message. A destination queue that changes is marked as stale, and
//! its index entries are updated before the indices are next read. The policy defines priorities and
//! thresholds.
//!
//! | module | contents |
//! | --- | --- |
//! | `position` | sort keys of queued messages |
//! | `segment` | messages with equal properties whose latency objectives have all passed or all not passed |
//! | `destination_queue` | queue of one destination |
//! | `indices` | indices over all destination queues |
//! | `wake_schedule` | destinations to check now, and wake times of the others |
//! | `message_queue` | queued messages of all destinations |
//! | `consistency` | checks of the indices in debug builds |

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
