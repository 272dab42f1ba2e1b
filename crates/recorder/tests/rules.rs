//! Guards against commands that break the rules of the delivery policy. Builds with debug assertions also
//! check the policy's indexes.

use proptest::prelude::*;
use reeddock_recorder::streams;

/// Maximum number of steps of a stream.
const MAX_STEPS: usize = 240;

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        // A fixed seed gives the same cases in each run, so that failures can be reproduced.
        rng_seed: proptest::test_runner::RngSeed::Fixed(39),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn delivery_policy_breaks_no_rule_in_random_streams(seed in 0_u64..u64::MAX, steps in 1..=MAX_STEPS) {
        let violations = streams::find_violations(seed, steps);
        prop_assert!(violations.is_empty(), "the delivery policy broke rules; first violations: {:#?}", &violations[..violations.len().min(5)]);
    }
}
