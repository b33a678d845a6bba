//! The control state compared with an oracle, a plain list of the applied changes.

use quickcheck::{Arbitrary, Gen, quickcheck};
use woadreach_chain::{
    AppliedConfiguration, Blob, Command, ControlState, MAX_APPLIED_CONFIGURATIONS,
    PutConfiguration, PutStorageView, Rejection, StoredStorageView, Undecided, Verdict,
    WritePosition,
};

/// A command with small numbers, so that duplicates and mismatches are common.
#[derive(Clone, Debug)]
struct SmallCommand(Command);

impl Arbitrary for SmallCommand {
    fn arbitrary(generator: &mut Gen) -> SmallCommand {
        let base = u64::from(u8::arbitrary(generator) % 6);
        let next = u64::from(u8::arbitrary(generator) % 8);
        let content = u8::arbitrary(generator) % 3;
        SmallCommand(if bool::arbitrary(generator) {
            let digest = [content; 16];
            let body = Blob::from(vec![content]);
            Command::PutConfiguration(PutConfiguration {
                base,
                generation: next,
                digest,
                body,
            })
        } else {
            let bytes = Blob::from(vec![content]);
            Command::PutStorageView(PutStorageView {
                expected_epoch: base,
                epoch: next,
                bytes,
            })
        })
    }
}

fn applied(put: &PutConfiguration) -> AppliedConfiguration {
    AppliedConfiguration {
        generation: put.generation,
        digest: put.digest,
    }
}

fn stored(put: &PutStorageView) -> StoredStorageView {
    StoredStorageView {
        epoch: put.epoch,
        bytes: put.bytes.clone(),
    }
}

/// The applied changes, oldest first.
#[derive(Default)]
struct Oracle {
    configurations: Vec<AppliedConfiguration>,
    storage: Option<StoredStorageView>,
}

impl Oracle {
    fn verdict(&self, command: &Command) -> Verdict {
        match command {
            Command::PutConfiguration(put) => {
                let current = self
                    .configurations
                    .last()
                    .map_or(0, |applied| applied.generation);
                if self.configurations.contains(&applied(put)) {
                    Verdict::AlreadyApplied
                } else if put.base < current {
                    Verdict::Rejected(Rejection::BaseMismatch { current })
                } else if put.generation <= put.base {
                    Verdict::Rejected(Rejection::StaleGeneration { current })
                } else if put.base > current {
                    Verdict::Undecided(Undecided::FutureBase { current })
                } else {
                    Verdict::Apply
                }
            }
            Command::PutStorageView(put) => {
                let current = self.storage.as_ref().map_or(0, |stored| stored.epoch);
                if self.storage == Some(stored(put)) {
                    Verdict::AlreadyApplied
                } else if put.expected_epoch != current || put.epoch <= current {
                    Verdict::Rejected(Rejection::StorageEpochMismatch { current })
                } else {
                    Verdict::Apply
                }
            }
        }
    }

    fn apply(&mut self, command: &Command) {
        match command {
            Command::PutConfiguration(put) => {
                self.configurations.push(applied(put));
            }
            Command::PutStorageView(put) => self.storage = Some(stored(put)),
        }
    }
}

quickcheck! {
    fn verdicts_match_the_oracle(commands: Vec<SmallCommand>) -> bool {
        let mut state = ControlState::default();
        let mut oracle = Oracle::default();
        commands.into_iter().enumerate().all(|(index, SmallCommand(command))| {
            let verdict = state.evaluate(&command);
            let agrees = verdict == oracle.verdict(&command);
            if verdict == Verdict::Apply {
                state.apply(WritePosition { epoch: 1, number: index as u64 + 1 }, &command);
                oracle.apply(&command);
            }
            agrees && state.applied.len() == oracle.configurations.len()
        })
    }

    fn a_rejected_change_is_never_applied_later(commands: Vec<SmallCommand>, duplicates: Vec<usize>) -> bool {
        let mut state = ControlState::default();
        let mut rejected = Vec::new();
        let commands: Vec<Command> = commands.into_iter().map(|SmallCommand(command)| command).collect();
        let late = duplicates.iter().filter_map(|index| commands.get(index % commands.len().max(1)));
        commands.iter().chain(late).enumerate().all(|(index, command)| {
            let verdict = state.evaluate(command);
            if matches!(verdict, Verdict::Rejected(_)) && matches!(command, Command::PutConfiguration(_)) {
                rejected.push(command.clone());
            }
            if verdict == Verdict::Apply {
                state.apply(WritePosition { epoch: 1, number: index as u64 + 1 }, command);
            }
            verdict != Verdict::Apply || !rejected.contains(command)
        })
    }

    fn an_applied_change_is_never_rejected(again: Vec<u16>) -> bool {
        let changes = changes_beyond_the_limit();
        let state = state_after(&changes);
        let verdicts = again.iter().map(|place| state.evaluate(&changes[usize::from(*place) % changes.len()]));
        verdicts.into_iter().all(|verdict| {
            matches!(verdict, Verdict::AlreadyApplied | Verdict::Undecided(Undecided::Forgotten { .. }))
        })
    }
}

/// Changes of odd generations, 300 more than the state retains.
fn changes_beyond_the_limit() -> Vec<Command> {
    let change = |number: u64| {
        let generation = 2 * number + 1;
        let base = generation.saturating_sub(2);
        Command::PutConfiguration(PutConfiguration {
            base: if number == 0 { 0 } else { base },
            generation,
            digest: [number as u8; 16],
            body: Blob::default(),
        })
    };
    (0..MAX_APPLIED_CONFIGURATIONS as u64 + 300)
        .map(change)
        .collect()
}

fn state_after(changes: &[Command]) -> ControlState {
    let mut state = ControlState::default();
    for (index, change) in changes.iter().enumerate() {
        assert_eq!(state.evaluate(change), Verdict::Apply);
        state.apply(
            WritePosition {
                epoch: 1,
                number: index as u64 + 1,
            },
            change,
        );
    }
    state
}

#[test]
fn duplicates_are_acknowledged_up_to_the_limit_and_undecided_beyond() {
    let changes = changes_beyond_the_limit();
    let state = state_after(&changes);
    let (dropped, retained) = changes.split_at(changes.len() - MAX_APPLIED_CONFIGURATIONS);
    for change in retained {
        assert_eq!(state.evaluate(change), Verdict::AlreadyApplied);
    }
    for change in dropped {
        assert_eq!(
            state.evaluate(change),
            Verdict::Undecided(Undecided::Forgotten { oldest: 601 })
        );
    }
}

#[test]
fn the_number_of_digests_is_limited_and_the_newest_are_retained() {
    let mut state = ControlState::default();
    for generation in 1..=10_000 {
        let digest = [0; 16];
        let put = PutConfiguration {
            base: generation - 1,
            generation,
            digest,
            body: Blob::default(),
        };
        state.apply(
            WritePosition {
                epoch: 1,
                number: generation,
            },
            &Command::PutConfiguration(put),
        );
    }
    assert_eq!(state.applied.len(), 8192);
    assert_eq!(
        state.applied.last().map(|applied| applied.generation),
        Some(10_000)
    );
}

#[test]
fn a_stale_generation_is_explained_by_the_base_of_the_change() {
    assert_eq!(
        Rejection::StaleGeneration { current: 4 }.to_string(),
        "the generation must exceed the one that the change builds on; the current one is 4"
    );
}
