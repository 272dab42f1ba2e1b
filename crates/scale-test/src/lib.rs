//! Scale runs: a control-side stand-in, real forwarders and many hollow ones, all on loopback.
//!
//! | part | its job |
//! | --- | --- |
//! | [`scenario`] | what a scenario file asks for |
//! | [`truth`] | the list as the control side has it |
//! | [`control`] | serves the list by the published protocol |
//! | [`decode`] | reads lines of the list entry by entry |
//! | [`hollow`] | forwarders that only keep the list |
//! | [`real`] | processes of the daemon, and their clients |
//! | [`targets`] | stand-in targets |
//! | [`clients`] | hands envelopes in |
//! | [`troubles`] | what goes wrong, and when |
//! | [`ports`] | ports that stay free |
//! | [`room`] | what the machine has room for |
//! | [`run`] | one run from start to end |
//! | [`stage`] | all parts of a run |
//! | [`script`] | carries troubles out |
//! | [`measures`] | figures from counters and records |
//! | [`checks`] | what has to hold at the end |
//! | [`worker`] | threads with a runtime of their own |
//! | [`report`] | figures as JSON lines and as tables |
//! | [`fit`] | slopes over sizes |
//! | [`wire`] | streams whose bytes are counted |

pub mod checks;
pub mod clients;
pub mod control;
pub mod decode;
pub mod fault;
pub mod fit;
pub mod hollow;
pub mod measures;
pub mod ports;
pub mod real;
pub mod report;
pub mod room;
pub mod run;
pub mod scenario;
pub mod script;
pub mod stage;
pub mod targets;
pub mod troubles;
pub mod truth;
pub mod wire;
pub mod worker;
