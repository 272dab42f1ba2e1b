//! The account of a memory budget under any order of growth and release.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use reeddock_forwarder::memory_budget::{BudgetExceeded, MemoryBudget, MemoryGrant};

const BUDGET_BYTES: usize = 10_000;

#[test]
fn grant_that_would_exceed_the_budget_keeps_what_it_has() {
    let budget = MemoryBudget::new(BUDGET_BYTES as u64);
    let mut first = budget.empty_grant();
    let mut second = budget.empty_grant();
    assert_eq!(first.grow(6_000), Ok(()));
    assert_eq!(second.grow(4_001), Err(BudgetExceeded));
    assert_eq!(second.grow(4_000), Ok(()));
    assert_eq!(first.grow(1), Err(BudgetExceeded));
    assert_eq!(budget.free_bytes(), 0);
    drop(first);
    assert_eq!(budget.free_bytes(), 6_000);
    assert_eq!(second.grow(6_000), Ok(()));
    drop(second);
    assert_eq!(budget.free_bytes(), BUDGET_BYTES);
}

/// Guards against an account that drifts: random growth and release of 20 grants, 50 seeds.
#[test]
fn account_equals_the_grants_that_are_held() {
    for seed in 0..50 {
        let mut random = Pcg64::seed_from_u64(seed);
        let budget = MemoryBudget::new(BUDGET_BYTES as u64);
        let mut held: Vec<Option<(MemoryGrant, usize)>> = (0..20).map(|_| None).collect();
        for _ in 0..2_000 {
            let slot = random.random_range(0..held.len());
            if random.random_range(0..3) == 0 {
                held[slot] = None;
            } else {
                let (grant, bytes) = held[slot].get_or_insert_with(|| (budget.empty_grant(), 0));
                let growth = random.random_range(0..2_000);
                let free = budget.free_bytes();
                assert_eq!(grant.grow(growth).is_ok(), growth <= free, "seed {seed}");
                *bytes += if growth <= free { growth } else { 0 };
            }
            let granted: usize = held.iter().flatten().map(|(_, bytes)| bytes).sum();
            assert_eq!(budget.free_bytes() + granted, BUDGET_BYTES, "seed {seed}");
        }
        drop(held);
        assert_eq!(budget.free_bytes(), BUDGET_BYTES, "seed {seed}");
    }
}
