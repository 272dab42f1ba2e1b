//! One forwarder on loopback sockets.

mod crossings;
mod lists;
mod stand_ins;
mod stories;
mod watches;
