//! One simulated proxy: writes and reads with the parts of the client that do no I/O.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use woadreach_storage::grant::ReservationRound;
use woadreach_storage::message::{Answer, FencingToken, Operation, Request};
use woadreach_storage::quorum::{Quorum, QuorumKind};
use woadreach_storage::turn::TurnRecord;
use woadreach_storage::write::{FollowUp, Write};
use woadreach_storage::{StorageMember, StorageView, TurnKey};

/// Identifier of a job of a proxy.
pub(crate) type JobId = u64;

/// Epoch and round under which a request was sent, which distinguishes late answers from current ones.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SentUnder {
    pub epoch: u64,
    pub round: u64,
}

/// Purpose of a job, with the data that its outcome is recorded under.
#[derive(Debug, Clone)]
pub(crate) enum Purpose {
    Reserve {
        program: usize,
        id: u64,
        round: ReservationRound,
        /// When the write of this round was first sent.
        sent: Duration,
        /// When the proxy gives up, in whichever round.
        deadline: Duration,
    },
    Put {
        program: usize,
        id: u64,
        turn: TurnRecord,
        delivered_tokens: u64,
    },
    Settle {
        program: usize,
        id: u64,
        delivered_tokens: u64,
    },
    Read {
        key: TurnKey,
        is_final: bool,
    },
}

/// Progress of a job.
pub(crate) enum Work {
    Write(Write),
    Read(Read),
}

/// A chain that is being read, newest first.
pub(crate) struct Read {
    pub chain: Vec<TurnRecord>,
    pub next: TurnKey,
    pub phase: ReadPhase,
    /// Incremented with each round of requests, so that late answers of an earlier round are dropped.
    round: u64,
    /// Disks that have not answered in this round.
    unanswered: BTreeSet<u64>,
    all_answered: bool,
    pub outcome: Option<Result<(), ReadFailure>>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReadPhase {
    Group,
    Everywhere,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReadFailure {
    NotFound,
    Unavailable,
}

impl Read {
    pub(crate) fn new(key: TurnKey) -> Read {
        Read {
            chain: Vec::new(),
            next: key,
            phase: ReadPhase::Group,
            round: 0,
            unanswered: BTreeSet::new(),
            all_answered: true,
            outcome: None,
        }
    }

    /// Starts a round and returns the requests of the current phase.
    fn requests(
        &mut self,
        view: &StorageView,
        tolerated_losses: usize,
    ) -> Vec<(StorageMember, Request)> {
        let (members, operation) = match self.phase {
            ReadPhase::Group => {
                let quorum =
                    Quorum::new(view, &self.next.program, tolerated_losses, QuorumKind::Read);
                let (program, request_id) =
                    (self.next.program.clone(), self.next.request_id.clone());
                (
                    quorum.members().to_vec(),
                    Operation::ReadChain {
                        program,
                        request_id,
                    },
                )
            }
            ReadPhase::Everywhere => {
                let request_id = self.next.request_id.clone();
                (
                    view.members().into_iter().cloned().collect(),
                    Operation::Find { request_id },
                )
            }
        };
        self.round += 1;
        self.all_answered = !members.is_empty();
        self.unanswered = members.iter().map(|member| member.disk).collect();
        let request = |member: StorageMember| {
            let fencing_token = FencingToken {
                epoch: view.epoch,
                disk: member.disk,
            };
            (
                member,
                Request {
                    fencing_token,
                    operation: operation.clone(),
                },
            )
        };
        members.into_iter().map(request).collect()
    }

    /// Records an answer, or `None` for a time-out. Returns whether the round is finished.
    fn record_answer(&mut self, round: u64, disk: u64, answer: Option<Answer>) -> bool {
        if round != self.round || !self.unanswered.remove(&disk) {
            return false;
        }
        match answer {
            Some(Answer::Chain { turns })
                if self.phase == ReadPhase::Group && !turns.is_empty() =>
            {
                let previous = turns.last().and_then(|turn| turn.previous.clone());
                self.chain.extend(turns);
                match previous {
                    Some(request_id) => self.next.request_id = request_id,
                    None => self.outcome = Some(Ok(())),
                }
                return true;
            }
            Some(Answer::Found { programs }) if !programs.is_empty() => {
                self.phase = ReadPhase::Group;
                return true;
            }
            Some(Answer::Chain { .. } | Answer::Found { .. }) => {}
            _ => self.all_answered = false,
        }
        if !self.unanswered.is_empty() {
            return false;
        }
        match (self.phase, self.all_answered) {
            (ReadPhase::Group, _) if self.chain.is_empty() => self.phase = ReadPhase::Everywhere,
            (ReadPhase::Everywhere, true) => self.outcome = Some(Err(ReadFailure::NotFound)),
            _ => self.outcome = Some(Err(ReadFailure::Unavailable)),
        }
        true
    }
}

/// One write or read of a proxy.
pub(crate) struct Job {
    pub purpose: Purpose,
    pub work: Work,
    pub deadline: Duration,
    pub answered: BTreeSet<u64>,
    /// Whether the outcome was reported; from then on a write is only retried for machines that have not answered.
    pub reported: bool,
}

/// Proxy with its latest view and its jobs in flight.
pub(crate) struct Proxy {
    pub view: Arc<StorageView>,
    pub jobs: BTreeMap<JobId, Job>,
}

impl Proxy {
    /// Requests to send for a job: a write's to all members that have not answered, a read's for a new round.
    pub(crate) fn requests(
        &mut self,
        job: JobId,
        tolerated_losses: usize,
    ) -> Vec<(StorageMember, Request)> {
        let view = Arc::clone(&self.view);
        let Some(job) = self.jobs.get_mut(&job) else {
            return Vec::new();
        };
        match &mut job.work {
            Work::Write(write) => {
                if view.epoch > write.epoch() {
                    write.restart(&view);
                    job.answered.clear();
                }
                let unanswered = write
                    .members()
                    .iter()
                    .filter(|member| !job.answered.contains(&member.disk));
                let request = |member: &StorageMember| {
                    let fencing_token = FencingToken {
                        epoch: write.epoch(),
                        disk: member.disk,
                    };
                    (
                        member.clone(),
                        Request {
                            fencing_token,
                            operation: write.operation_for(member.disk).into_owned(),
                        },
                    )
                };
                unanswered.map(request).collect()
            }
            Work::Read(read) => read.requests(&view, tolerated_losses),
        }
    }

    /// Current round of a read; 0 for a write or an unknown job.
    pub(crate) fn round(&self, job: JobId) -> u64 {
        match self.jobs.get(&job).map(|job| &job.work) {
            Some(Work::Read(read)) => read.round,
            _ => 0,
        }
    }

    /// Records an answer. Returns whether the job's requests should be sent again at once.
    pub(crate) fn record_answer(
        &mut self,
        id: JobId,
        sent: SentUnder,
        disk: u64,
        answer: Option<Answer>,
    ) -> bool {
        if let Some(Answer::Stale { view }) = &answer
            && view.epoch > self.view.epoch
        {
            self.view = Arc::new(view.clone());
        }
        let Some(job) = self.jobs.get_mut(&id) else {
            return false;
        };
        match &mut job.work {
            Work::Write(write) => match answer {
                Some(Answer::Stale { .. }) => write.epoch() < self.view.epoch,
                Some(Answer::Failed) | None => false,
                Some(answer) => {
                    if sent.epoch == write.epoch() && !answer.is_missing_ancestors() {
                        job.answered.insert(disk);
                    }
                    write.record_answer(sent.epoch, disk, answer) == FollowUp::Resend
                }
            },
            Work::Read(read) => {
                read.record_answer(sent.round, disk, answer) && read.outcome.is_none()
            }
        }
    }
}
