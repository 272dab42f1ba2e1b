//! Tests of a forwarder on loopback sockets with stubs of its endpoints, platform and clients.

mod batches;
mod client_connections;
mod deadlines;
mod endpoint_connections;
mod endpoint_list;
mod notices;
mod platform_address;
mod resource_limits;
mod responses;
mod restarts;
mod retry_after;
mod shutdown;
mod streamed_lists;
mod submissions;
mod support;
mod surplus_responses;
mod unconfirmed_list;
mod watch;
