//! A forwarder on sockets, built around the delivery policy of the package `reeddock`.
//!
//! The policy makes every decision. This package carries the decisions out and reports their results to the
//! policy. All tasks run on one thread. [`serve()`] starts the tasks and runs the event loop, which owns the
//! policy and the write-ahead log. All other tasks send [`events::Event`]s to the event loop through bounded
//! queues.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `serve` | starts and stops the tasks |
//! | `options`, `error` | the options of a forwarder, and the errors that prevent its start |
//! | `ingress` | accepts client connections and their submissions |
//! | [`events`] | the events that reach the event loop |
//! | `event_loop` | owns the delivery policy and the write-ahead log |
//! | [`endpoints`] | names, ids and addresses of endpoints |
//! | [`address_pauses`] | the `Retry-After` of each address, for endpoints that are listed there later |
//! | [`request_sender`] | sends requests to endpoints and interprets the responses |
//! | [`connections`] | the pool of connections to endpoints |
//! | [`http_progress`] | the progress of an HTTP exchange on a connection |
//! | `body_reader` | reads HTTP bodies without keeping the buffers they are received into |
//! | [`idle_permits`] | which endpoint kinds have capacity for idle connections |
//! | [`discovery`] | the watch on the endpoint list |
//! | [`watch_schedule`] | the times at which a lost watch is reopened |
//! | `list_reader` | decodes the response body of a watch |
//! | [`malformed_list`] | the backoff after a malformed list |
//! | [`cached_endpoint_list`] | the endpoint list that was cached before the start |
//! | `list_status` | the status of the endpoint list for the health check |
//! | `notices` | sends delivery notices to the platform |
//! | [`memory_budget`] | a limit on memory that several holders share |
//! | [`limits`] | the limits derived from the machine's resources |
//! | `log_throttle` | limits the rate of repeated log lines |
//! | [`clock`] | the policy's time, and the wall-clock time of stored records |

pub mod address_pauses;
mod body_reader;
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
pub mod memory_budget;
mod notices;
mod options;
pub mod request_sender;
mod serve;
pub mod watch_schedule;

pub use error::ForwarderError;
pub use options::ForwarderOptions;
pub use serve::{serve, serve_on};
