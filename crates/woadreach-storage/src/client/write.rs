//! Writes to quorums of a program's groups.

use std::time::Duration;

use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::time::{Instant, sleep, timeout_at};

use super::exchange::EncodedRequest;
use super::{StorageClient, Unavailable};
use crate::message::{Answer, Operation};
use crate::quorum::{Need, Quorum};
use crate::view::StorageMember;

/// How long one try waits for a machine's answer: several slow syncs.
const TRY_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause before the first new try at a machine; it doubles.
const FIRST_BACKOFF: Duration = Duration::from_millis(60);
/// Longest pause between tries.
const LONGEST_BACKOFF: Duration = Duration::from_millis(1_000);
/// How long machines that missed a write are told of it after a quorum has it.
const REPAIR_WITHIN: Duration = Duration::from_secs(8);

/// What became of a write at one machine.
enum Delivery {
    Answered(u64, Answer),
    Stale,
}

impl StorageClient {
    /// Sends a write to all machines of the groups at once and returns the answers of the first quorum. The
    /// others are tried on in the background.
    pub(super) async fn write(
        &self,
        program: &str,
        operation: &Operation,
        within: Duration,
    ) -> Result<Vec<Answer>, Unavailable> {
        let deadline = Instant::now() + within;
        let mut views = self.shared.view.subscribe();
        loop {
            let view = views.borrow_and_update().clone();
            let mut quorum = Quorum::new(&view, program, self.shared.tolerated, Need::Write);
            let request = EncodedRequest::new(view.epoch, operation);
            let (sender, mut deliveries) = unbounded_channel();
            for member in quorum.members() {
                let delivery =
                    deliver(self.clone(), member.clone(), request.clone(), sender.clone(), deadline);
                tokio::spawn(delivery);
            }
            let mut answers = Vec::new();
            loop {
                tokio::select! {
                    biased;
                    Some(delivery) = deliveries.recv() => match delivery {
                        Delivery::Answered(disk, answer) => {
                            quorum.answered(disk);
                            answers.push(answer);
                            if quorum.reached() {
                                return Ok(answers);
                            }
                        }
                        Delivery::Stale => {}
                    },
                    changed = timeout_at(deadline, views.changed()) => match changed {
                        Ok(_) => break,
                        Err(_) => return Err(Unavailable),
                    },
                }
            }
        }
    }

    /// Writes without waiting.
    pub(super) fn write_in_background(&self, operation: Operation, within: Duration) {
        let client = self.clone();
        tokio::spawn(async move {
            let program = match &operation {
                Operation::Settle { program, .. } | Operation::PutTurns { program, .. } => program.clone(),
                _ => return,
            };
            let _ = client.write(&program, &operation, within).await;
        });
    }
}

/// Tries one machine until it has the write, is known to be another one, or time is up.
async fn deliver(
    client: StorageClient,
    member: StorageMember,
    request: EncodedRequest,
    results: UnboundedSender<Delivery>,
    deadline: Instant,
) {
    let last_try = deadline + REPAIR_WITHIN;
    let mut backoff = FIRST_BACKOFF;
    while Instant::now() < last_try {
        match client.exchange(&member, &request, TRY_TIMEOUT).await {
            Ok(answer @ (Answer::Stored | Answer::Reserved { .. })) => {
                let _ = results.send(Delivery::Answered(member.disk, answer));
                return;
            }
            Ok(Answer::Stale { .. }) => {
                let _ = results.send(Delivery::Stale);
                return;
            }
            Ok(Answer::WrongDisk | Answer::Malformed) => return,
            Ok(_) | Err(_) => {}
        }
        sleep(backoff).await;
        backoff = (backoff * 2).min(LONGEST_BACKOFF);
    }
}
