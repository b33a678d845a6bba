//! The control state against a plain list of what was taken.

use quickcheck::{Arbitrary, Gen, quickcheck};
use woadreach_chain::{
    Blob, Command, ControlState, PutConfiguration, PutStorageView, Rejection, Stamp, Verdict,
};

/// A command with small numbers, so that repeats and mismatches are common.
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
            Command::PutConfiguration(PutConfiguration { base, generation: next, digest, body })
        } else {
            let bytes = Blob::from(vec![content]);
            Command::PutStorageView(PutStorageView { expected_epoch: base, epoch: next, bytes })
        })
    }
}

/// What was taken, in order.
#[derive(Default)]
struct Oracle {
    configurations: Vec<(u64, [u8; 16])>,
    storage: Option<(u64, Blob)>,
}

impl Oracle {
    fn verdict(&self, command: &Command) -> Verdict {
        match command {
            Command::PutConfiguration(put) => {
                let current = self.configurations.last().map_or(0, |(generation, _)| *generation);
                if self.configurations.contains(&(put.generation, put.digest)) {
                    Verdict::AlreadyTaken
                } else if put.base != current {
                    Verdict::Rejected(Rejection::BaseMismatch { current })
                } else if put.generation <= current {
                    Verdict::Rejected(Rejection::StaleGeneration { current })
                } else {
                    Verdict::Take
                }
            }
            Command::PutStorageView(put) => {
                let current = self.storage.as_ref().map_or(0, |(epoch, _)| *epoch);
                if self.storage == Some((put.epoch, put.bytes.clone())) {
                    Verdict::AlreadyTaken
                } else if put.expected_epoch != current || put.epoch <= current {
                    Verdict::Rejected(Rejection::StorageEpochMismatch { current })
                } else {
                    Verdict::Take
                }
            }
        }
    }

    fn take(&mut self, command: &Command) {
        match command {
            Command::PutConfiguration(put) => self.configurations.push((put.generation, put.digest)),
            Command::PutStorageView(put) => self.storage = Some((put.epoch, put.bytes.clone())),
        }
    }
}

quickcheck! {
    fn verdicts_are_those_of_the_oracle(commands: Vec<SmallCommand>) -> bool {
        let mut state = ControlState::default();
        let mut oracle = Oracle::default();
        commands.into_iter().enumerate().all(|(index, SmallCommand(command))| {
            let verdict = state.judge(&command);
            let agrees = verdict == oracle.verdict(&command);
            if verdict == Verdict::Take {
                state.apply(Stamp { epoch: 1, number: index as u64 + 1 }, &command);
                oracle.take(&command);
            }
            agrees && state.taken.len() == oracle.configurations.len()
        })
    }
}

#[test]
fn digests_are_bounded_and_the_newest_are_kept() {
    let mut state = ControlState::default();
    for generation in 1..=10_000 {
        let digest = [0; 16];
        let put = PutConfiguration { base: generation - 1, generation, digest, body: Blob::default() };
        state.apply(Stamp { epoch: 1, number: generation }, &Command::PutConfiguration(put));
    }
    assert_eq!(state.taken.len(), 8192);
    assert_eq!(state.taken.last().map(|taken| taken.generation), Some(10_000));
}
