//! A scenario file with every key, and the paths of the keys as the scenario is written back.

/// Scenario file with every key, every fault and every keyword but `none` of `weights`.
pub const FULL_SCENARIO: &str = r#"version = 1
name = "full"
about = "every key of a scenario and every fault once"
lasts_s = 60

[fleet]
forwarders = 4
zones = 2
slots = 8
room = 60
dispatch_cap = 5
tick_s = 0.01
come_back_s = 2
ledger = true
uneven = 0.5
drain_grace_s = 1
key_rest_s = 2
answer_slack_s = 0.03

[traffic]
usual_per_s = 20
load = 1.5
skew = 0.5
clumped = 0.1
clump = { uniform = [4, 12] }

[network]
one_way_ms = { exponential = 2 }
across_zones_ms = 2
handshake_ms = 3
connect_within_s = 2
idle_s = 4

[list]
delay_s = 1
weights = "rates"
weight_error = { uniform = [0.6, 1.5] }

[notes]
allowed = true
delay_ms = 5
lost = 0.1

[returning]
cold_from = 0.3
warm_within_s = 5
fall_multiple = 3
tip_after_s = 2
stays_down_s = 30

[[category]]
name = "notice"
part = 2
effect = "pure"
promised_s = 3
outer_limit_s = 20
credit = 2
late_credit = 0.3
decay = "line"
work_ms = { log_normal = { median = 200, sigma = 0.4 } }
ordered_keys = 5

[[category]]
name = "mark"
effect = { receipted = 6 }
promised_s = 3
outer_limit_s = 16
decay = "halves"
work_ms = 100

[[category]]
name = "booking"
effect = "effectful"
promised_s = 2
outer_limit_s = 20
work_ms = 100

[[program]]
name = "sales"
part = 2
share_per_s = 10
returns = 2
return_after_s = 1
heeds = 0.5
withdraws_after_s = 9
bunch = 2

[[kind]]
name = "open"
destinations = 3
targets = 2
traffic = 2
apart = true
batch = 4
limit = "none"
headroom = 1.5
least_per_s = 2
spare = 1.4
queue_s = 0.4
pace = 1.2
told_waits = 0.5
refused_use_up = true
connections = 50
runs_on = 0.5

[[kind]]
name = "rated"
destinations = 2
limit = "rate"

[[kind]]
name = "spans"
destinations = 2
limit = { span = 2 }

[[trouble]]
at_s = 10
for_s = 2
what = { refused = { whom = { destinations = [0], targets = 0.5 } } }

[[trouble]]
at_s = 10
for_s = 2
what = { silent = { whom = { share = 0.5 } } }

[[trouble]]
at_s = 10
for_s = 2
what = { hang = { whom = { destinations = [0], targets = 0.5 } } }

[[trouble]]
at_s = 10
for_s = 2
what = { shut = { whom = { destinations = [0], targets = 0.5 } } }

[[trouble]]
at_s = 10
for_s = 2
what = { fast_errors = { whom = { destinations = [0], targets = 0.5 }, share = 0.9 } }

[[trouble]]
at_s = 10
for_s = 2
what = { slow = { whom = { destinations = [0], targets = 0.5 }, times = 3 } }

[[trouble]]
at_s = 10
for_s = 2
what = { pauses = { whom = { destinations = [0], targets = 0.5 }, each_s = 0.2, every_s = 2 } }

[[trouble]]
at_s = 10
for_s = 2
what = { heavy_tail = { whom = { destinations = [0], targets = 0.5 }, share = 0.1, times = 5 } }

[[trouble]]
at_s = 10
for_s = 2
what = { category_fails = { whom = { destinations = [0], targets = 0.5 }, category = "mark" } }

[[trouble]]
at_s = 10
for_s = 2
what = { answers_lost = { whom = { destinations = [0], targets = 0.5 }, share = 0.2 } }

[[trouble]]
at_s = 10
for_s = 2
what = { replaced = { whom = { destinations = [0], targets = 0.5 } } }

[[trouble]]
at_s = 10
for_s = 2
what = { leaves = { whom = { destinations = [0], targets = 0.5 } } }

[[trouble]]
at_s = 10
for_s = 2
what = { list_frozen = {} }

[[trouble]]
at_s = 10
for_s = 2
what = { killed = { which = { forwarders = [1] } } }

[[trouble]]
at_s = 10
for_s = 2
what = { cut_off = { which = { share = 0.5 } } }

[[trouble]]
at_s = 10
for_s = 2
what = { shift = { which = { forwarders = [1] }, share = 0.5 } }

[[trouble]]
at_s = 10
for_s = 2
what = { burst = { times = 2 } }

[[trouble]]
at_s = 10
for_s = 2
what = { surge = { program = "sales", times = 2 } }

[found]
seed = 7
rule = "not_pushed_over"
credit = 0.5
one_try = 0.4
ceiling = 0.75
"#;

/// Sorted paths of the keys in [`FULL_SCENARIO`]; `[]` stands for the items of a list.
pub const SCENARIO_KEYS: &str = "\
about
category
category[].credit
category[].decay
category[].effect
category[].effect.receipted
category[].late_credit
category[].name
category[].ordered_keys
category[].outer_limit_s
category[].part
category[].promised_s
category[].work_ms
category[].work_ms.log_normal
category[].work_ms.log_normal.median
category[].work_ms.log_normal.sigma
fleet
fleet.answer_slack_s
fleet.come_back_s
fleet.dispatch_cap
fleet.drain_grace_s
fleet.forwarders
fleet.key_rest_s
fleet.ledger
fleet.room
fleet.slots
fleet.tick_s
fleet.uneven
fleet.zones
found
found.ceiling
found.credit
found.one_try
found.rule
found.seed
kind
kind[].apart
kind[].batch
kind[].connections
kind[].destinations
kind[].headroom
kind[].least_per_s
kind[].limit
kind[].limit.span
kind[].name
kind[].pace
kind[].queue_s
kind[].refused_use_up
kind[].runs_on
kind[].spare
kind[].targets
kind[].told_waits
kind[].traffic
lasts_s
list
list.delay_s
list.weight_error
list.weight_error.uniform
list.weights
name
network
network.across_zones_ms
network.connect_within_s
network.handshake_ms
network.idle_s
network.one_way_ms
network.one_way_ms.exponential
notes
notes.allowed
notes.delay_ms
notes.lost
program
program[].bunch
program[].heeds
program[].name
program[].part
program[].return_after_s
program[].returns
program[].share_per_s
program[].withdraws_after_s
returning
returning.cold_from
returning.fall_multiple
returning.stays_down_s
returning.tip_after_s
returning.warm_within_s
traffic
traffic.clump
traffic.clump.uniform
traffic.clumped
traffic.load
traffic.skew
traffic.usual_per_s
trouble
trouble[].at_s
trouble[].for_s
trouble[].what
trouble[].what.answers_lost
trouble[].what.answers_lost.share
trouble[].what.answers_lost.whom
trouble[].what.answers_lost.whom.destinations
trouble[].what.answers_lost.whom.targets
trouble[].what.burst
trouble[].what.burst.times
trouble[].what.category_fails
trouble[].what.category_fails.category
trouble[].what.category_fails.whom
trouble[].what.category_fails.whom.destinations
trouble[].what.category_fails.whom.targets
trouble[].what.cut_off
trouble[].what.cut_off.which
trouble[].what.cut_off.which.share
trouble[].what.fast_errors
trouble[].what.fast_errors.share
trouble[].what.fast_errors.whom
trouble[].what.fast_errors.whom.destinations
trouble[].what.fast_errors.whom.targets
trouble[].what.hang
trouble[].what.hang.whom
trouble[].what.hang.whom.destinations
trouble[].what.hang.whom.targets
trouble[].what.heavy_tail
trouble[].what.heavy_tail.share
trouble[].what.heavy_tail.times
trouble[].what.heavy_tail.whom
trouble[].what.heavy_tail.whom.destinations
trouble[].what.heavy_tail.whom.targets
trouble[].what.killed
trouble[].what.killed.which
trouble[].what.killed.which.forwarders
trouble[].what.leaves
trouble[].what.leaves.whom
trouble[].what.leaves.whom.destinations
trouble[].what.leaves.whom.targets
trouble[].what.list_frozen
trouble[].what.pauses
trouble[].what.pauses.each_s
trouble[].what.pauses.every_s
trouble[].what.pauses.whom
trouble[].what.pauses.whom.destinations
trouble[].what.pauses.whom.targets
trouble[].what.refused
trouble[].what.refused.whom
trouble[].what.refused.whom.destinations
trouble[].what.refused.whom.targets
trouble[].what.replaced
trouble[].what.replaced.whom
trouble[].what.replaced.whom.destinations
trouble[].what.replaced.whom.targets
trouble[].what.shift
trouble[].what.shift.share
trouble[].what.shift.which
trouble[].what.shift.which.forwarders
trouble[].what.shut
trouble[].what.shut.whom
trouble[].what.shut.whom.destinations
trouble[].what.shut.whom.targets
trouble[].what.silent
trouble[].what.silent.whom
trouble[].what.silent.whom.share
trouble[].what.slow
trouble[].what.slow.times
trouble[].what.slow.whom
trouble[].what.slow.whom.destinations
trouble[].what.slow.whom.targets
trouble[].what.surge
trouble[].what.surge.program
trouble[].what.surge.times
version";
