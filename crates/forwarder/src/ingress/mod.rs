//! The HTTP/1 server to which clients submit messages. Clients that are idle, slow or too many don't block
//! others.
//!
//! | module | purpose |
//! | --- | --- |
//! | `accept` | accepts connections within the limits of the machine |
//! | `clients` | the open connections, and the choice of the one to evict at the limit |
//! | `client_connection` | the phase of a connection, and the byte count of its current request |
//! | `serving` | serves a connection until it ends, and closes it without losing a response |
//! | `service` | answers requests |
//! | `request_body` | reads the body of a request into a buffer that counts against a memory budget |

mod accept;
mod client_connection;
mod clients;
mod request_body;
mod service;
mod serving;

pub(crate) use accept::accept;
pub(crate) use clients::ClientConnections;
