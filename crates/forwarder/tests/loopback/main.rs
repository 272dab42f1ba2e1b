//! One forwarder on loopback sockets.

mod crossings;
mod stand_ins;
mod stories;
mod watches;
