//! The memory of a forwarder process under input of any size and in any pieces, against its limit.

#[path = "../support/configuration.rs"]
mod configuration;
#[path = "../support/health.rs"]
mod health;
#[path = "../support/log_line.rs"]
mod log_line;
#[path = "../support/process.rs"]
mod process;
#[path = "../support/stub_server.rs"]
mod stub_server;
#[path = "../support/temp_folder.rs"]
mod temp_folder;
#[path = "../support/wait.rs"]
mod wait;

mod deployment;
mod forwarder;
mod lists;
mod notices;
mod platform;
mod private_memory;
mod receive_queue;
mod responses;
mod soak;
mod submissions;
