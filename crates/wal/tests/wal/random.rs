//! Random steps against the plain reference: appends, restarts after kills, restarts after losses.

use proptest::prelude::*;
use reeddock_wal::memory_storage::MemoryStorage;
use reeddock_wal::{Sync, WriteAheadLog};

use crate::load::{Load, Model};

#[derive(Clone, Debug)]
enum Move {
    Append(usize),
    Kill,
    Lose,
    Lapse,
}

fn moves() -> impl Strategy<Value = Vec<Move>> {
    let one = prop_oneof![
        6 => (1..40usize).prop_map(Move::Append),
        1 => Just(Move::Kill),
        1 => Just(Move::Lose),
        1 => Just(Move::Lapse),
    ];
    prop::collection::vec(one, 1..25)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 150, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn the_books_are_those_of_the_reference(
        seed in any::<u64>(),
        body in 0..900usize,
        most in 40_000..200_000u64,
        moves in moves(),
    ) {
        let mut memory = MemoryStorage::default();
        let mut log = WriteAheadLog::open_in(Box::new(memory.clone()), most, Sync::Each).unwrap();
        let mut load = Load::new(seed, body);
        for step in moves {
            match step {
                Move::Append(groups) => load.play(&mut log, groups).map_err(|e| e.0).unwrap(),
                Move::Lapse => {
                    // All that is open ends at once, as after a long stop.
                    let ends: Vec<_> = load.model.open.keys().map(|id| {
                        reeddock_wal::Record::Finished { id: id.clone(), notice: None }
                    }).collect();
                    ends.iter().for_each(|r| load.model.apply(r));
                    log.append(&ends, Default::default()).unwrap();
                }
                Move::Kill | Move::Lose => {
                    drop(log);
                    memory = if matches!(step, Move::Kill) { memory.after_a_kill() } else { memory.after_a_loss() };
                    log = WriteAheadLog::open_in(Box::new(memory.clone()), most, Sync::Each).unwrap();
                    prop_assert!(log.verification().is_sound());
                }
            }
            prop_assert_eq!(&Model::of(log.index()), &load.model);
            prop_assert!(log.used() <= most, "{} of {}", log.used(), most);
            prop_assert!(memory.size() <= most);
            for pending in log.index().pending() {
                let accepted = log.accepted(pending).unwrap();
                prop_assert_eq!(accepted.body.len(), body);
                prop_assert_eq!(accepted.idempotency_key, Some(format!("key of {}", pending.id.0)));
            }
        }
    }
}
