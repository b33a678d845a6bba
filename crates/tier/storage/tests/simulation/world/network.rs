//! Requests and responses with latency, partitions and time-outs.

use std::net::SocketAddr;
use std::time::Duration;

use woadreach_storage::message::{Request, Response};

use super::super::event::{Endpoint, Event};
use super::super::proxy::{JobId, SentUnder};
use super::World;
use super::competition::Competition;

/// Time after which a caller treats a call as timed out.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Operation that a call belongs to.
#[derive(Debug, Clone, Copy)]
pub(super) enum CallFor {
    Job {
        proxy: usize,
        job: JobId,
        round: u64,
    },
    Pull {
        machine: usize,
        incarnation: u64,
    },
}

/// Request in flight.
pub(super) struct Call {
    purpose: CallFor,
    epoch: u64,
    disk: u64,
}

impl World {
    fn reaches(&self, from: Endpoint, to: usize) -> bool {
        let machine = &self.machines[to];
        match from {
            Endpoint::Machine(from) => {
                !machine.inbound_partitioned && !self.machines[from].outbound_partitioned
            }
            Endpoint::Proxy(_) => true,
        }
    }

    pub(super) fn send(
        &mut self,
        from: Endpoint,
        address: &SocketAddr,
        request: Request,
        purpose: CallFor,
    ) {
        let call = self.next_number();
        let (epoch, disk) = (request.fencing_token.epoch, request.fencing_token.disk);
        self.calls.insert(
            call,
            Call {
                purpose,
                epoch,
                disk,
            },
        );
        let to = self
            .machines
            .iter()
            .position(|machine| machine.address == *address);
        let to = to.expect("every address belongs to a machine");
        self.after(CALL_TIMEOUT, Event::CallTimeout { call });
        if self.reaches(from, to) {
            let delay = self.latency();
            self.after(delay, Event::Request { to, call, request });
        }
    }

    pub(super) fn latency(&mut self) -> Duration {
        if let Some(late) = self
            .competition
            .as_mut()
            .and_then(Competition::late_latency)
        {
            return late;
        }
        if self.chance(50) {
            self.millis(1, 120)
        } else {
            self.millis(0, 3) + Duration::from_micros(100)
        }
    }

    pub(super) fn respond(&mut self, from: usize, call: u64, response: Response) {
        let to_machine = match self.calls.get(&call) {
            Some(Call {
                purpose: CallFor::Pull { machine, .. },
                ..
            }) => Some(*machine),
            _ => None,
        };
        if to_machine.is_none_or(|to| self.reaches(Endpoint::Machine(from), to)) {
            let delay = self.latency();
            self.after(delay, Event::Response { call, response });
        }
    }

    pub(super) fn on_request(&mut self, to: usize, call: u64, request: Request) {
        let now = self.now;
        if self.machines[to].process.is_none() {
            return;
        }
        let answer = self.machines[to].handle(now, request, call, self.mutation);
        if let Some(response) = answer {
            self.respond(to, call, response);
        }
        self.disk_work(to);
    }

    /// Handles a response, or `None` for a time-out after [`CALL_TIMEOUT`]; only the first of both has an effect.
    pub(super) fn on_call_completed(&mut self, call: u64, response: Option<Response>) {
        let Some(Call {
            purpose,
            epoch,
            disk,
        }) = self.calls.remove(&call)
        else {
            return;
        };
        match purpose {
            CallFor::Job { proxy, job, round } => {
                self.on_job_answer(proxy, job, SentUnder { epoch, round }, disk, response);
            }
            CallFor::Pull {
                machine,
                incarnation,
            } if self.machines[machine].incarnation == incarnation => match response {
                Some(response) => self.on_pull_answer(machine, epoch, disk, response.answer),
                None if !self.machines[machine].frozen => self.pull_next(machine, disk),
                None => {}
            },
            CallFor::Pull { .. } => {}
        }
    }
}
