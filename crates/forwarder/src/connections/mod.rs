//! HTTP/1 connections to other machines: opened, observed byte by byte, and kept idle for the next request.
//!
//! | module | its job |
//! | --- | --- |
//! | `connection` | one open connection and the requests on it |
//! | `observed_stream` | the socket of a connection, which records how far the exchange on it has got |
//! | `pool` | idle connections to endpoints, and the limit of all connections to them |
//! | `reuse_history` | for how long idle connections can be trusted, learned from their reuse |
//! | `send_restrictions` | endpoints to which no request may be sent at the moment |

mod connection;
mod observed_stream;
mod pool;
mod reuse_history;
mod send_restrictions;

use std::sync::{Mutex, MutexGuard, PoisonError};

pub(crate) use connection::{out_of_descriptors, Connection};
pub(crate) use observed_stream::read_observed;
pub use pool::ConnectionPool;

/// Locks a mutex whose value is consistent at any time, so that it can still be used after a holder panicked.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
