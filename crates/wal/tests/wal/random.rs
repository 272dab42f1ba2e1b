//! Compares the log with the reference model after random appends, kills and losses of the machine.

use proptest::prelude::*;
use reeddock_wal::memory_storage::MemoryStorage;
use reeddock_wal::{Record, SyncPolicy, WriteAheadLog};

use crate::load::Load;
use crate::model::Model;
use crate::support::finished;

#[derive(Clone, Debug)]
enum Step {
    /// Appends a number of groups of the load.
    AppendGroups(usize),
    Kill,
    LoseMachine,
    /// Finishes all pending messages in one append.
    FinishAll,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let one = prop_oneof![
        6 => (1..40usize).prop_map(Step::AppendGroups),
        1 => Just(Step::Kill),
        1 => Just(Step::LoseMachine),
        1 => Just(Step::FinishAll),
    ];
    prop::collection::vec(one, 1..25)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 150, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn index_equals_the_reference_model_after_random_steps(
        seed in any::<u64>(),
        body_bytes in 0..900usize,
        folder_bytes in 40_000..200_000u64,
        steps in steps(),
    ) {
        let mut memory = MemoryStorage::default();
        let mut log = WriteAheadLog::open_in(Box::new(memory.clone()), folder_bytes, SyncPolicy::EachAppend).unwrap();
        let mut load = Load::new(seed, body_bytes);
        for step in steps {
            match step {
                Step::AppendGroups(groups) => load.append_groups(&mut log, groups).unwrap(),
                Step::FinishAll => {
                    let records: Vec<Record> = load.model.pending.keys().map(|id| finished(id)).collect();
                    records.iter().for_each(|record| load.model.apply(record));
                    log.append(&records, Default::default()).unwrap();
                }
                Step::Kill | Step::LoseMachine => {
                    drop(log);
                    memory = if matches!(step, Step::Kill) { memory.after_kill() } else { memory.after_machine_loss() };
                    log = WriteAheadLog::open_in(Box::new(memory.clone()), folder_bytes, SyncPolicy::EachAppend).unwrap();
                    prop_assert!(log.verification().is_sound());
                }
            }
            prop_assert_eq!(&Model::from_index(log.index()), &load.model);
            prop_assert!(log.used_bytes() <= folder_bytes, "{} bytes used, limit {}", log.used_bytes(), folder_bytes);
            prop_assert!(memory.total_bytes() <= folder_bytes);
            for pending in log.index().pending() {
                let accepted = log.read_message(pending).unwrap();
                prop_assert_eq!(accepted.body.len(), body_bytes);
                prop_assert_eq!(accepted.idempotency_key, Some(format!("key of {}", pending.id.0)));
            }
        }
    }
}
