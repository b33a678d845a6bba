//! Writes to quorums of a program's groups: runs one [`Write`] until it is durable.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc::unbounded_channel;
use tokio::time::{Instant, timeout_at};

use super::delivery::{AnswerSender, Delivery, MachineAnswer};
use super::exchange::EncodedRequest;
use super::{StorageClient, Unavailable};
use crate::message::Operation;
use crate::turn::Turn;
use crate::write::{FollowUp, Write};

impl StorageClient {
    /// Sends a write to all machines of the groups concurrently and waits for a quorum. Machines that have not stored
    /// it by then are retried in the background.
    pub(super) async fn write(
        &self,
        program: &str,
        operation: Operation,
        timeout: Duration,
    ) -> Result<Write, Unavailable> {
        self.write_after(program, Vec::new(), operation, timeout)
            .await
    }

    /// The same for an operation that stores a turn which continues `ancestors`, oldest first. Machines that lack any of
    /// these are sent all of them, and count towards the quorum only then.
    pub(super) async fn write_after(
        &self,
        program: &str,
        ancestors: Vec<Arc<Turn>>,
        operation: Operation,
        timeout: Duration,
    ) -> Result<Write, Unavailable> {
        let deadline = Instant::now() + timeout;
        let mut views = self.shared.view.subscribe();
        let view = views.borrow_and_update().clone();
        let tolerated_losses = self.shared.tolerated_losses;
        let mut write = Write::new(&view, program.to_owned(), operation, tolerated_losses)
            .with_ancestors(ancestors);
        let (sender, mut answers) = unbounded_channel();
        self.send_to_all(&write, &sender);
        while !write.is_durable() {
            tokio::select! {
                biased;
                Some(MachineAnswer { epoch, disk, answer }) = answers.recv() => {
                    if write.record_answer(epoch, disk, answer) == FollowUp::Resend {
                        self.resend(&write, disk, &sender);
                    }
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

    fn resend(&self, write: &Write, disk: u64, sender: &AnswerSender) {
        let members = write.members().iter();
        for member in members.filter(|member| member.disk == disk) {
            let request = EncodedRequest::new(write.epoch(), &write.operation_for(disk));
            let delivery = Delivery::new(write.epoch(), request, sender.clone());
            self.deliver(member, delivery);
        }
    }
}
