//! Random streams against the rules of the delivery policy and, in a build with debug assertions, against its own checks of
//! each index.

use proptest::prelude::*;
use reeddock_recorder::streams;

/// Steps of the longest streams.
const MOST_STEPS: usize = 240;

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        // The same cases each time; a failure is shrunk to its seed's shortest stream that still shows it.
        rng_seed: proptest::test_runner::RngSeed::Fixed(39),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn the_module_keeps_its_rules(seed in 0_u64..u64::MAX, steps in 1..=MOST_STEPS) {
        let violations = streams::find_violations(seed, steps);
        prop_assert!(violations.is_empty(), "{:#?}", &violations[..violations.len().min(5)]);
    }
}
