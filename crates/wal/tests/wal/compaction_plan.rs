//! Guards the bounds of the compaction plan.

use std::collections::BTreeMap;

use reeddock_wal::compaction_plan::{
    CompactionPlan, CompactionStep, BLOCK_BYTES, COPIED_PER_APPENDED_BYTE, MAX_STEP_BYTES, MIN_STEP_BYTES,
};

#[test]
fn only_the_first_segment_is_compacted_and_never_the_last() {
    let mut plan = CompactionPlan::new(1 << 20);
    plan.set_segment_size(4, 600_000);
    assert_eq!(
        plan.plan_step_after_append(100, 0),
        CompactionStep::Idle,
        "the only segment is the last one and must not be compacted"
    );
    plan.set_segment_size(5, 10);
    assert_eq!(
        plan.plan_step_after_append(100, 0),
        CompactionStep::Copy { segment: 4, bytes: MIN_STEP_BYTES }
    );
    plan.remove_segment(4);
    assert_eq!(plan.forced_step(), CompactionStep::Idle);
}

#[test]
fn step_is_proportional_to_appended_bytes_up_to_its_maximum() {
    let mut plan = CompactionPlan::new(1 << 30);
    (1..30).for_each(|n| plan.set_segment_size(n, 32 << 20));
    let CompactionStep::Copy { bytes, .. } = plan.plan_step_after_append(50_000, 0) else {
        panic!("no compaction step is due, although the folder is nearly full")
    };
    assert_eq!(bytes, COPIED_PER_APPENDED_BYTE * 50_000);
    plan.consume_credit(bytes);
    let CompactionStep::Copy { bytes, .. } = plan.plan_step_after_append(1 << 30, 0) else {
        panic!("no compaction step is due after an append of 1 GiB")
    };
    assert_eq!(bytes, MAX_STEP_BYTES);
}

/// Checks the worst case: two fifths of the folder are pending, all in the first segments, and only appends
/// start compaction steps.
#[test]
fn compaction_passes_all_segments_before_the_folder_is_full() {
    for max_bytes in [200_000, 3_000_000, 1 << 30] {
        let mut plan = CompactionPlan::new(max_bytes);
        plan.set_auxiliary_bytes(plan.reserve_bytes() + 4 * BLOCK_BYTES);
        let pending_bytes = plan.max_pending_bytes();
        let (mut live, mut copied) = (BTreeMap::new(), 0);
        let mut left = pending_bytes;
        // Adds segments with pending messages, then with finished ones, up to the threshold at which
        // compaction starts.
        while plan.used_bytes() < plan.start_threshold(pending_bytes) {
            let number = plan.next_segment();
            let size = plan.max_segment_bytes().min(max_bytes / 40);
            live.insert(number, left.min(size));
            left -= left.min(size);
            plan.set_segment_size(number, size);
        }
        let step = (max_bytes / 4000).max(64);
        for _ in 0..20_000 {
            if plan.needs_new_segment(step) {
                let number = plan.next_segment();
                plan.set_segment_size(number, 0);
            }
            let last = plan.last_segment().unwrap();
            plan.set_segment_size(last, plan.segment_size(last) + step);
            if let CompactionStep::Copy { segment, bytes } = plan.plan_step_after_append(step, pending_bytes)
            {
                let live_bytes = live.entry(segment).or_default();
                let moved = bytes.min(*live_bytes);
                *live_bytes -= moved;
                if *live_bytes == 0 {
                    live.remove(&segment);
                    plan.remove_segment(segment);
                }
                if plan.needs_new_segment(moved) {
                    let number = plan.next_segment();
                    plan.set_segment_size(number, 0);
                }
                let last = plan.last_segment().unwrap();
                plan.set_segment_size(last, plan.segment_size(last) + moved);
                *live.entry(last).or_default() += moved;
                plan.consume_credit(moved);
                copied += moved;
            }
            assert!(plan.used_bytes() <= max_bytes, "{} bytes used, limit {max_bytes}", plan.used_bytes());
        }
        assert!(
            copied > pending_bytes,
            "compaction did not pass all segments of a folder of {max_bytes} bytes"
        );
    }
}
