//! Ports that nobody is given by chance: below those that systems deal out, so that one which is let go for a
//! while, as in a restart, is still free when it is wanted again.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};

const FIRST: u32 = 16_000;
const COUNT: u32 = 16_000;
/// Runs side by side begin at different places.
const APART: u32 = 331;

static NEXT: AtomicU32 = AtomicU32::new(0);

/// An address on loopback that was free a moment ago, and that this process does not give out again.
pub fn free() -> io::Result<SocketAddr> {
    for _ in 0..COUNT {
        let offset =
            std::process::id().wrapping_mul(APART).wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        let port = u16::try_from(FIRST + offset % COUNT).unwrap_or(u16::MAX);
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(io::Error::new(io::ErrorKind::AddrInUse, format!("no free port from {FIRST} to {}", FIRST + COUNT)))
}
