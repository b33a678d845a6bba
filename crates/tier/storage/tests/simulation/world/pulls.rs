//! Pulls in joint epochs, as the driver of a storage machine runs them.

use woadreach_storage::StorageMember;
use woadreach_storage::message::{Answer, FencingToken, Operation, Request, Response};
use woadreach_storage::pull::{Pages, Pull};

use super::super::event::Endpoint;
use super::super::machine::{Caller, Pulling, Source};
use super::World;
use super::network::CallFor;

impl World {
    pub(super) fn start_pull(&mut self, index: usize) {
        let Some(process) = self.machines[index].process.as_mut() else {
            return;
        };
        let view = process.node.view().clone();
        let own = process.node.disk();
        process.pulling = None;
        if !view.next.iter().flatten().any(|member| member.disk == own) {
            return;
        }
        let sources = view.current.iter().filter(|member| member.disk != own);
        let source = |member: &StorageMember| Source {
            member: member.clone(),
            pages: Pages::default(),
            unsynced: 0,
            done: false,
        };
        let progress = Pull::new(&view, own, self.tolerated_losses);
        let sources: Vec<Source> = sources.map(source).collect();
        let disks: Vec<u64> = sources.iter().map(|source| source.member.disk).collect();
        process.pulling = Some(Pulling {
            progress,
            sources,
            finishing: false,
        });
        for disk in disks {
            self.pull_next(index, disk);
        }
        self.check_pull(index);
    }

    /// Requests the next page from a source, or records that the source is finished.
    pub(super) fn pull_next(&mut self, index: usize, disk: u64) {
        let machine = &mut self.machines[index];
        let (node, incarnation) = (machine.node.clone(), machine.incarnation);
        let Some(pulling) = machine.pulling_mut() else {
            return;
        };
        let epoch = pulling.progress.epoch();
        let Some(source) = pulling.source_mut(disk) else {
            return;
        };
        if source.unsynced > 0 || source.done {
            return;
        }
        let Some(operation) = source.pages.next_request(&node) else {
            source.done = true;
            pulling.progress.record_finished(disk);
            return self.check_pull(index);
        };
        let member = source.member.clone();
        let request = Request {
            fencing_token: FencingToken { epoch, disk },
            operation,
        };
        self.send(
            Endpoint::Machine(index),
            &member.address,
            request,
            CallFor::Pull {
                machine: index,
                incarnation,
            },
        );
    }

    fn check_pull(&mut self, index: usize) {
        let now = self.now;
        let machine = &mut self.machines[index];
        let Some(process) = machine.process.as_mut() else {
            return;
        };
        let Some(pulling) = process.pulling.as_mut() else {
            return;
        };
        if pulling.finishing || !pulling.progress.is_complete() {
            return;
        }
        pulling.finishing = true;
        let epoch = pulling.progress.epoch();
        let step = process.node.finish_pull(now, epoch);
        machine.take(step, Caller::Nobody);
        self.disk_work(index);
    }

    pub(super) fn on_pull_answer(&mut self, index: usize, epoch: u64, disk: u64, answer: Answer) {
        let now = self.now;
        let machine = &mut self.machines[index];
        let Some(process) = machine.process.as_mut() else {
            return;
        };
        let Some(pulling) = process
            .pulling
            .as_mut()
            .filter(|pulling| pulling.progress.epoch() == epoch)
        else {
            return;
        };
        let Some(source) = pulling.source_mut(disk) else {
            return;
        };
        match answer {
            Answer::Stale { view } => {
                machine.learn_view(view);
                return self.disk_work(index);
            }
            Answer::Behind => {
                let view = process.node.view().clone();
                let (address, incarnation) = (source.member.address, machine.incarnation);
                let request = Request {
                    fencing_token: FencingToken { epoch, disk },
                    operation: Operation::NewView { view },
                };
                let purpose = CallFor::Pull {
                    machine: index,
                    incarnation,
                };
                return self.send(Endpoint::Machine(index), &address, request, purpose);
            }
            Answer::WrongDisk | Answer::Failed => return,
            answer => {
                let records = source
                    .pages
                    .accept_answer(process.node.store(), answer)
                    .unwrap_or_default();
                let mut steps = Vec::new();
                for program in records {
                    steps.extend(process.node.merge(now, program));
                }
                source.unsynced += steps.len();
                for step in steps {
                    machine.take(step, Caller::PulledFrom(disk));
                }
            }
        }
        self.pull_next(index, disk);
        self.disk_work(index);
    }

    pub(super) fn on_pulled_record(&mut self, index: usize, disk: u64, response: &Response) {
        let Some(pulling) = self.machines[index].pulling_mut() else {
            return;
        };
        if response.answer != Answer::Stored {
            // The driver retries the record; the simulation restarts the pull.
            return self.start_pull(index);
        }
        let Some(source) = pulling.source_mut(disk) else {
            return;
        };
        source.unsynced = source.unsynced.saturating_sub(1);
        self.pull_next(index, disk);
    }

    /// Handles the sync result of a record without a caller; retries the end of a pull if the sync failed.
    pub(super) fn on_own_record(&mut self, index: usize, response: &Response) {
        if response.answer != Answer::Failed {
            return;
        }
        if let Some(pulling) = self.machines[index].pulling_mut() {
            pulling.finishing = false;
            self.check_pull(index);
        }
    }
}
