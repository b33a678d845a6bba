//! Writes and reads of the proxies, with their retries and deadlines.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use woadreach_storage::message::{Operation, Response};
use woadreach_storage::write::Write;
use woadreach_storage::{Turn, TurnKey};

use super::super::event::{Endpoint, Event};
use super::super::mutation::Mutation;
use super::super::proxy::{Job, JobId, Purpose, Read, ReadFailure, SentUnder, Work};
use super::World;
use super::network::CallFor;

/// Deadline of a reservation.
pub(super) const RESERVE_TIMEOUT: Duration = Duration::from_millis(600);
/// Deadline for storing a turn durably.
const PUT_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Deadline of reading a chain.
pub(super) const READ_TIMEOUT: Duration = Duration::from_millis(1_200);
/// How long a write is retried in the background after its deadline.
const RETRY_TIMEOUT: Duration = Duration::from_secs(8);
/// Interval between two sends of a write to machines that have not answered.
const RESEND_INTERVAL: Duration = Duration::from_millis(150);

impl World {
    fn start_job(&mut self, proxy: usize, purpose: Purpose, work: Work, within: Duration) -> JobId {
        let id = self.next_number();
        let deadline = self.now + within;
        let job = Job {
            purpose,
            work,
            deadline,
            answered: BTreeSet::new(),
            reported: false,
        };
        self.proxies[proxy].jobs.insert(id, job);
        self.at(deadline, Event::Deadline { proxy, job: id });
        self.send_job(proxy, id);
        id
    }

    pub(super) fn start_write(
        &mut self,
        proxy: usize,
        purpose: Purpose,
        program: &str,
        operation: Operation,
    ) {
        self.start_write_after(proxy, purpose, program, Vec::new(), operation);
    }

    /// Starts a write of a turn that continues `ancestors`, oldest first.
    pub(super) fn start_write_after(
        &mut self,
        proxy: usize,
        purpose: Purpose,
        program: &str,
        ancestors: Vec<Arc<Turn>>,
        operation: Operation,
    ) {
        let view = Arc::clone(&self.proxies[proxy].view);
        let tolerated_losses = if self.mutation == Mutation::OneReplicaTooFew {
            self.tolerated_losses - 1
        } else {
            self.tolerated_losses
        };
        let within = match purpose {
            Purpose::Reserve { deadline, .. } => deadline.saturating_sub(self.now),
            Purpose::Put { .. } => PUT_TIMEOUT,
            _ => RETRY_TIMEOUT,
        };
        let write = Write::new(&view, program.to_owned(), operation, tolerated_losses)
            .with_ancestors(ancestors);
        self.start_job(proxy, purpose, Work::Write(write), within);
    }

    pub(super) fn start_read(&mut self, proxy: usize, key: TurnKey, is_final: bool) {
        let work = Work::Read(Read::new(key.clone()));
        self.start_job(proxy, Purpose::Read { key, is_final }, work, READ_TIMEOUT);
    }

    pub(super) fn send_job(&mut self, proxy: usize, job: JobId) {
        let requests = self.proxies[proxy].requests(job, self.tolerated_losses);
        let is_write = self.proxies[proxy]
            .jobs
            .get(&job)
            .is_some_and(|job| matches!(job.work, Work::Write(_)));
        let round = self.proxies[proxy].round(job);
        for (member, request) in requests {
            self.send(
                Endpoint::Proxy(proxy),
                &member.address,
                request,
                CallFor::Job { proxy, job, round },
            );
        }
        if is_write {
            self.after(RESEND_INTERVAL, Event::Resend { proxy, job });
        }
    }

    pub(super) fn on_job_answer(
        &mut self,
        proxy: usize,
        id: JobId,
        sent: SentUnder,
        disk: u64,
        response: Option<Response>,
    ) {
        if let Some(known) = response.as_ref().map(|response| response.epoch) {
            self.send_newer_view(proxy, disk, known);
        }
        let answer = response.map(|response| response.answer);
        let again = self.proxies[proxy].record_answer(id, sent, disk, answer);
        if again {
            self.send_job(proxy, id);
        }
        self.check_job(proxy, id);
    }

    /// Reports the outcome of a job, once, when it is known.
    fn check_job(&mut self, proxy: usize, id: JobId) {
        let Some(job) = self.proxies[proxy].jobs.get_mut(&id) else {
            return;
        };
        if job.reported {
            return;
        }
        match &job.work {
            Work::Write(write) if write.is_durable() => {
                job.reported = true;
                let purpose = job.purpose.clone();
                self.on_durable(proxy, id, purpose);
            }
            Work::Read(read) => {
                if let Some(outcome) = read.outcome {
                    let chain = read.chain.clone();
                    let purpose = job.purpose.clone();
                    self.proxies[proxy].jobs.remove(&id);
                    self.on_read(purpose, outcome, &chain);
                }
            }
            Work::Write(_) => {}
        }
    }

    pub(super) fn on_deadline(&mut self, proxy: usize, id: JobId) {
        let Some(job) = self.proxies[proxy].jobs.get_mut(&id) else {
            return;
        };
        if job.reported || job.deadline + RETRY_TIMEOUT <= self.now {
            self.proxies[proxy].jobs.remove(&id);
            return;
        }
        if let Purpose::Read { .. } = job.purpose {
            let purpose = job.purpose.clone();
            self.proxies[proxy].jobs.remove(&id);
            return self.on_read(purpose, Err(ReadFailure::Unavailable), &[]);
        }
        job.reported = true;
        let purpose = job.purpose.clone();
        self.after(RETRY_TIMEOUT, Event::Deadline { proxy, job: id });
        if let Purpose::Reserve { program, id, .. } = purpose {
            self.settle(proxy, program, id, 0);
        }
    }
}
