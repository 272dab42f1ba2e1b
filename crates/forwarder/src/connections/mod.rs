//! HTTP/1 connections to other machines.
//!
//! | module | purpose |
//! | --- | --- |
//! | `connection` | an open connection and the requests sent on it |
//! | `observed_stream` | the socket of a connection, which records the progress of the exchange on it |
//! | `pool` | idle connections to endpoints, and the limit on all connections to endpoints |
//! | `reuse_history` | the idle time after which connections are not reused |
//! | `send_restrictions` | endpoints to which no request may currently be sent |

mod connection;
mod observed_stream;
mod pool;
mod reuse_history;
mod send_restrictions;

use std::sync::{Mutex, MutexGuard, PoisonError};

pub(crate) use connection::{is_resource_exhausted, Connection, ConnectionOptions};
pub(crate) use observed_stream::read_observed;
pub use pool::ConnectionPool;

/// Locks a mutex even if it is poisoned. The value must be consistent whenever a holder can panic.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
