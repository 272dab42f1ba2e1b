//! Values in log lines of a forwarder.

use std::net::SocketAddr;

/// Returns the listening address in a log line; `None` if the line has none.
pub fn listening_address(log_line: &str) -> Option<SocketAddr> {
    log_line.split_once("listen=").and_then(|(_, address)| address.trim().parse().ok())
}
