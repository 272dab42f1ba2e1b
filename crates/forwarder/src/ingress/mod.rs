//! Where clients submit messages: an HTTP/1 server that stays available to others while some clients are silent, slow
//! or too many.
//!
//! | module | its job |
//! | --- | --- |
//! | `accept` | accepts connections, within the limits of the machine |
//! | `clients` | all open connections, and which one is evicted at the limit |
//! | `client_connection` | the phase of one connection, and the bytes of its current request |
//! | `serving` | serves one connection to its end and closes it without losing a response |
//! | `service` | answers requests |

mod accept;
mod client_connection;
mod clients;
mod service;
mod serving;

pub(crate) use accept::accept;
pub(crate) use clients::ClientConnections;
