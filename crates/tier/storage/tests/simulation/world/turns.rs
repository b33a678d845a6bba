//! Workload: programs that reserve tokens, run turns and settle them.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use oorandom::Rand64;
use woadreach_storage::grant::{BudgetCheck, ReservationOutcome, ReservationRound};
use woadreach_storage::message::{Operation, Settlement};
use woadreach_storage::turn::TurnRecord;
use woadreach_storage::{Turn, TurnKey};

use super::super::event::{Endpoint, Event};
use super::super::mutation::Mutation;
use super::super::oracle::Attempt;
use super::super::proxy::{Job, JobId, Purpose, ReadFailure, Work};
use super::super::violation::{DeniedTurnSnafu, UnavailableTurnSnafu};
use super::World;
use super::jobs::RESERVE_TIMEOUT;

/// Upper bound of the tokens that one turn generates.
const MAX_TOKENS: u64 = 30;
/// Retention of the turns of a run without slow turns, which outlasts the run.
const RETENTION: Duration = Duration::from_secs(60);
/// Time from a proxy's crash until it has restarted and received the view.
const PROXY_RESTART: Duration = Duration::from_millis(200);

/// Program with its budget and its last durable turn.
pub(super) struct Program {
    name: String,
    budget: u64,
    turns: u64,
    last: Option<TurnKey>,
}

impl Program {
    /// Creates a program with a random budget.
    pub(super) fn draw(number: u64, random: &mut Rand64) -> Program {
        let budget = random.rand_range(60..1_500);
        Program::new(number, budget)
    }

    /// Creates a program with the budget for this number of turns at their upper bound.
    pub(super) fn for_turns(number: u64, turns: u64) -> Program {
        Program::new(number, turns * MAX_TOKENS)
    }

    fn new(number: u64, budget: u64) -> Program {
        Program {
            name: format!("program-{number}"),
            budget,
            turns: 0,
            last: None,
        }
    }
}

impl World {
    pub(super) fn on_turn(&mut self) {
        if self.now > self.end_of_faults {
            return;
        }
        let delay = self.millis(10, 250);
        self.after(delay, Event::Turn);
        let program = self.random.rand_range(0..self.programs.len() as u64) as usize;
        let proxy = self.random.rand_range(0..self.proxies.len() as u64) as usize;
        if let Some(last) = self.programs[program].last.clone() {
            self.start_read(proxy, last, false);
        }
        let id = self.random.rand_u64();
        self.start_reservation(proxy, program, id);
        self.start_competing_reservations();
    }

    /// Starts the first round of a reservation.
    pub(super) fn start_reservation(&mut self, proxy: usize, program: usize, id: u64) {
        let attempt = Attempt::Open {
            max_tokens: MAX_TOKENS,
        };
        let name = &self.programs[program].name;
        self.oracle.attempt(name, id, attempt);
        let deadline = self.now + RESERVE_TIMEOUT;
        self.start_reservation_round(proxy, (program, id), ReservationRound::First, deadline);
    }

    fn start_reservation_round(
        &mut self,
        proxy: usize,
        (program, id): (usize, u64),
        round: ReservationRound,
        deadline: Duration,
    ) {
        let name = self.programs[program].name.clone();
        let operation = Operation::Reserve {
            program: name.clone(),
            reservation: id,
            max_tokens: MAX_TOKENS,
        };
        let purpose = Purpose::Reserve {
            program,
            id,
            round,
            sent: self.now,
            deadline,
        };
        self.start_write(proxy, purpose, &name, operation);
    }

    pub(super) fn on_durable(&mut self, proxy: usize, job: JobId, purpose: Purpose) {
        match purpose {
            Purpose::Reserve { .. } => self.on_reserved(proxy, job, purpose),
            Purpose::Settle {
                program,
                id,
                delivered_tokens,
            } => self.record_settled(program, id, delivered_tokens),
            Purpose::Put {
                program,
                id,
                turn,
                delivered_tokens,
            } => {
                self.record_settled(program, id, delivered_tokens);
                self.programs[program].last = Some(turn.key());
                self.oracle.acknowledge(self.now, turn);
                self.maybe_fault_after_acknowledgement();
                self.maybe_final_fault_after_acknowledgement();
            }
            Purpose::Read { .. } => {}
        }
    }

    fn record_settled(&mut self, program: usize, id: u64, delivered_tokens: u64) {
        let settled = Attempt::Settled {
            max_tokens: MAX_TOKENS,
            delivered_tokens,
            at: self.now,
        };
        let name = &self.programs[program].name;
        self.oracle.attempt(name, id, settled);
    }

    fn record_ended(&mut self, program: usize, id: u64, delivered_tokens: u64) {
        let ended = Attempt::Ended {
            max_tokens: MAX_TOKENS,
            delivered_tokens,
        };
        let name = &self.programs[program].name;
        self.oracle.attempt(name, id, ended);
    }

    fn on_reserved(&mut self, proxy: usize, job: JobId, purpose: Purpose) {
        let Purpose::Reserve {
            program,
            id,
            round,
            sent,
            deadline,
        } = purpose
        else {
            return;
        };
        let Some(Job {
            work: Work::Write(write),
            ..
        }) = self.proxies[proxy].jobs.get(&job)
        else {
            return;
        };
        let check = BudgetCheck {
            reservation: id,
            max_tokens: MAX_TOKENS,
            budget: self.programs[program].budget,
        };
        let has_one_round = self.mutation == Mutation::OneReservationRound;
        match check.outcome(round, write) {
            ReservationOutcome::Repeat if !has_one_round => {
                let round = ReservationRound::Second;
                self.start_reservation_round(proxy, (program, id), round, deadline);
            }
            ReservationOutcome::Granted | ReservationOutcome::Repeat => {
                self.start_granted_turn(proxy, program, id);
            }
            ReservationOutcome::Spent => {
                let name = &self.programs[program].name;
                let outcome = self
                    .oracle
                    .refused(name, id, (MAX_TOKENS, check.budget), sent);
                self.record_check(outcome);
                self.settle(proxy, program, id, 0);
            }
        }
    }

    fn start_granted_turn(&mut self, proxy: usize, program: usize, id: u64) {
        let Program { name, budget, .. } = &self.programs[program];
        let outcome = self.oracle.granted(name, id, MAX_TOKENS, *budget);
        self.record_check(outcome);
        self.maybe_final_fault_after_acknowledgement();
        let delay = self.millis(5, 400);
        let slow = self.start_in_slow_run(program, id);
        self.after(
            slow.unwrap_or(delay),
            Event::TurnEnded { proxy, program, id },
        );
    }

    /// Whether slow turns end after the end of the faults. Their acknowledgements cause no faults, which could not heal
    /// before the final reads.
    pub(crate) fn is_quiet_slow_run(&self) -> bool {
        self.slow_turns.is_some() && self.now > self.end_of_faults
    }

    /// In a run with slow turns, the turn continues the program's last turn if that is retained now. Returns how long
    /// the turn takes if it is slow.
    fn start_in_slow_run(&mut self, program: usize, id: u64) -> Option<Duration> {
        let slow_turns = self.slow_turns.as_mut()?;
        let last = self.programs[program].last.as_ref();
        let retained = last.filter(|last| self.oracle.is_retained(self.now, last));
        let chain = retained.map(|last| self.oracle.chain(last));
        slow_turns.start(id, chain.unwrap_or_default())
    }

    /// The chain that a turn which ends now continues, oldest first, and the turn's retention.
    fn chain_and_retention(&mut self, program: usize, id: u64) -> (Vec<Arc<Turn>>, Duration) {
        if let Some(slow_turns) = &mut self.slow_turns {
            return (slow_turns.end(id), slow_turns.retention());
        }
        let last = self.programs[program].last.as_ref();
        let chain = last.map(|last| self.oracle.chain(last));
        (chain.unwrap_or_default(), RETENTION)
    }

    pub(super) fn on_turn_ended(&mut self, proxy: usize, program: usize, id: u64) {
        let name = self.programs[program].name.clone();
        let delivered_tokens = self.random.rand_range(0..MAX_TOKENS + 1);
        match self.random.rand_range(0..20) {
            // The proxy crashes: the reservation stays counted at its upper bound, and the proxy's jobs are dropped.
            0 => {
                self.oracle.attempt(
                    &name,
                    id,
                    Attempt::Granted {
                        max_tokens: MAX_TOKENS,
                    },
                );
                self.crash_proxy(proxy);
            }
            1 | 2 => self.settle(proxy, program, id, delivered_tokens),
            _ => {
                self.programs[program].turns += 1;
                let (chain, retention) = self.chain_and_retention(program, id);
                let turn = Turn {
                    program: name.clone(),
                    session: "session".to_owned(),
                    request_id: format!("{name}-{}", self.programs[program].turns),
                    previous: chain.last().map(|last| last.key()),
                    input: Bytes::copy_from_slice(&id.to_le_bytes()),
                    events: Vec::new(),
                    retention,
                };
                let turn = turn.to_record(&name);
                self.record_ended(program, id, delivered_tokens);
                let settlement = Some(Settlement {
                    reservation: id,
                    delivered_tokens,
                });
                let operation = Operation::PutTurns {
                    program: name.clone(),
                    turns: vec![turn.clone()],
                    settlement,
                };
                let purpose = Purpose::Put {
                    program,
                    id,
                    turn,
                    delivered_tokens,
                };
                self.start_write_after(proxy, purpose, &name, chain, operation);
            }
        }
    }

    fn crash_proxy(&mut self, proxy: usize) {
        self.proxies[proxy].jobs.clear();
        self.proxies[proxy].view = Arc::default();
        let view = self.core.committed.clone();
        self.after(
            PROXY_RESTART,
            Event::View {
                to: Endpoint::Proxy(proxy),
                view,
            },
        );
    }

    pub(super) fn settle(&mut self, proxy: usize, program: usize, id: u64, delivered_tokens: u64) {
        let name = self.programs[program].name.clone();
        self.record_ended(program, id, delivered_tokens);
        let operation = Operation::Settle {
            program: name.clone(),
            settlement: Settlement {
                reservation: id,
                delivered_tokens,
            },
        };
        self.start_write(
            proxy,
            Purpose::Settle {
                program,
                id,
                delivered_tokens,
            },
            &name,
            operation,
        );
    }

    pub(super) fn on_read(
        &mut self,
        purpose: Purpose,
        outcome: Result<(), ReadFailure>,
        chain: &[TurnRecord],
    ) {
        let Purpose::Read { key, is_final } = purpose else {
            return;
        };
        match outcome {
            Ok(()) => {
                let checked = self.oracle.read(&key, chain);
                self.record_check(checked);
            }
            Err(_) if !self.oracle.is_retained(self.now, &key) => {}
            Err(ReadFailure::NotFound) => {
                self.record_check(DeniedTurnSnafu { key }.fail());
            }
            Err(ReadFailure::Unavailable) if is_final => {
                self.record_check(UnavailableTurnSnafu { key }.fail());
            }
            Err(ReadFailure::Unavailable) => {}
        }
    }
}
