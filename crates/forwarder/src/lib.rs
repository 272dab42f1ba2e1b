//! One forwarder on sockets, around the delivery policy of the package `reeddock`.
//!
//! The policy makes every decision; this package carries the decisions out and reports to the policy what happens.
//! Everything runs on one thread. [`serve()`] starts the tasks and runs the event loop, which alone owns the policy and
//! the write-ahead log; all other tasks reach it through bounded queues of [`events::Event`].
//!
//! | module | its job |
//! | --- | --- |
//! | `serve` | starts the tasks, and ends them in order |
//! | `options`, `error` | what a forwarder is given at its start, and why it may fail to start |
//! | `ingress` | accepts client connections and their submissions |
//! | [`events`] | the events that reach the event loop |
//! | `event_loop` | owns the delivery policy and the write-ahead log |
//! | [`endpoints`] | names, numbers and addresses of endpoints |
//! | [`request_sender`] | one request to an endpoint, from start to result |
//! | [`connections`] | the pool of connections to endpoints |
//! | [`http_progress`] | how much of an HTTP exchange has passed on a connection |
//! | [`idle_permits`] | which kinds of endpoint have capacity for idle connections |
//! | [`discovery`] | the watch on the endpoint list |
//! | [`watch_schedule`] | when a lost watch is opened again |
//! | `list_reader` | reads the body of a watch |
//! | [`malformed_list`] | how long to wait before a malformed list is asked for again |
//! | [`cached_endpoint_list`] | the endpoint list as it was known before the start |
//! | `list_status` | what the health check says of the endpoint list |
//! | `notices` | delivery notices to the platform |
//! | [`limits`] | the limits derived from the machine's resources |
//! | `log_throttle` | keeps repeated log lines from flooding the log |
//! | [`clock`] | the policy's time, and wall-clock time for what is stored |

pub mod cached_endpoint_list;
pub mod clock;
pub mod connections;
pub mod discovery;
pub mod endpoints;
mod error;
mod event_loop;
pub mod events;
pub mod http_progress;
pub mod idle_permits;
mod ingress;
pub mod limits;
mod list_reader;
mod list_status;
mod log_throttle;
pub mod malformed_list;
mod notices;
mod options;
pub mod request_sender;
mod serve;
pub mod watch_schedule;

pub use error::ForwarderError;
pub use options::ForwarderOptions;
pub use serve::{serve, serve_on};
