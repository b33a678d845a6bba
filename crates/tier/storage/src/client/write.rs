//! Writes to quorums of a program's groups: runs one [`Write`] until it is durable.

use std::time::Duration;

use tokio::sync::mpsc::unbounded_channel;
use tokio::time::{Instant, timeout_at};

use super::delivery::{AnswerSender, Delivery};
use super::exchange::EncodedRequest;
use super::{StorageClient, Unavailable};
use crate::message::Operation;
use crate::write::Write;

impl StorageClient {
    /// Sends a write to all machines of the groups concurrently and waits for a quorum. Machines that have not stored
    /// it by then are retried in the background.
    pub(super) async fn write(
        &self,
        program: &str,
        operation: Operation,
        timeout: Duration,
    ) -> Result<Write, Unavailable> {
        let deadline = Instant::now() + timeout;
        let mut views = self.shared.view.subscribe();
        let view = views.borrow_and_update().clone();
        let mut write = Write::new(
            &view,
            program.to_owned(),
            operation,
            self.shared.tolerated_losses,
        );
        let (sender, mut answers) = unbounded_channel();
        self.send_to_all(&write, &sender);
        while !write.is_durable() {
            tokio::select! {
                biased;
                Some(received) = answers.recv() => {
                    write.record_answer(received.epoch, received.disk, received.answer);
                }
                changed = timeout_at(deadline, views.changed()) => {
                    changed.map_err(|_| Unavailable)?.map_err(|_| Unavailable)?;
                    let view = views.borrow_and_update().clone();
                    write.restart(&view);
                    self.send_to_all(&write, &sender);
                }
            }
        }
        Ok(write)
    }

    fn send_to_all(&self, write: &Write, sender: &AnswerSender) {
        let request = EncodedRequest::new(write.epoch(), write.operation());
        for member in write.members() {
            let delivery = Delivery::new(write.epoch(), request.clone(), sender.clone());
            self.deliver(member, delivery);
        }
    }
}
