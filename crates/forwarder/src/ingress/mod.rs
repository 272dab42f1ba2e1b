//! Where clients submit messages: an HTTP/1 server that holds its own under silent, slow and crowding clients.
//!
//! | module | its job |
//! | --- | --- |
//! | `accept` | accepts connections, within the limits of the machine |
//! | `clients` | all open connections, and which one is closed where room is needed |
//! | `client_connection` | the phase of one connection, and the bytes of its current request |
//! | `serving` | serves one connection to its end and closes it without losing a response |
//! | `service` | answers requests |

mod accept;
mod client_connection;
mod clients;
mod service;
mod serving;

pub use accept::accept;
pub use clients::ClientConnections;
