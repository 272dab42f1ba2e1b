//! The write-ahead log after kills, losses, damage and long use.

mod crashes;
mod damage;
mod load;
mod random;
mod state_before_rename;
mod stories;
