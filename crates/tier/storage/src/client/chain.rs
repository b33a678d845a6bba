//! Reading a chain of turns (a turn and those before it; not the chain of core machines): from the cache, the nearest
//! machine of the group, the others of the group, then all machines.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout_at};

use super::exchange::EncodedRequest;
use super::{ChainError, StorageClient};
use crate::message::{Answer, Operation};
use crate::placement::group;
use crate::turn::{Turn, TurnKey, TurnRecord};
use crate::view::{StorageMember, StorageView};

/// Timeout for reading a chain.
const CHAIN_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Timeout of one request to one machine.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time without an answer after which a hedged request is sent to the next machine.
const HEDGE_DELAY: Duration = Duration::from_millis(50);
/// Interval between two searches of all machines.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Result of a search.
enum Search {
    /// A machine has the turn: the segment of its chain in the answer, newest first.
    Found(Vec<TurnRecord>),
    /// No machine that answered has the turn.
    NotFound {
        /// Whether all machines have answered.
        all_answered: bool,
    },
}

impl StorageClient {
    pub(super) async fn read_chain(&self, newest: TurnKey) -> Result<Vec<Arc<Turn>>, ChainError> {
        let deadline = Instant::now() + CHAIN_TIMEOUT;
        let mut chain = Vec::new();
        let mut next = Some(newest);
        while let Some(key) = next {
            let mut segment = self.shared.cache.lock().chain(&key);
            if segment.is_empty() {
                segment = self.fetch_segment(&key, deadline, chain.is_empty()).await?;
            }
            next = segment.last().and_then(|oldest| oldest.previous.clone());
            chain.extend(segment);
        }
        chain.reverse();
        Ok(chain)
    }

    /// Reads a segment of the chain from the machines, newest first. Only the newest turn can be reported as not found:
    /// a missing ancestor is reported as unavailable.
    async fn fetch_segment(
        &self,
        key: &TurnKey,
        deadline: Instant,
        is_newest: bool,
    ) -> Result<Vec<Arc<Turn>>, ChainError> {
        while Instant::now() < deadline {
            let view = self.view();
            match self.search_group(&view, key, deadline).await {
                Search::Found(records) => return Ok(self.cache_records(records)),
                Search::NotFound { .. } if !is_newest => {}
                Search::NotFound { .. } => {
                    match self.search_all_machines(&view, key, deadline).await {
                        Search::Found(records) => return Ok(self.cache_records(records)),
                        Search::NotFound { all_answered: true } => {
                            return Err(ChainError::NotFound);
                        }
                        Search::NotFound {
                            all_answered: false,
                        } => {}
                    }
                }
            }
            sleep(RETRY_INTERVAL).await;
        }
        Err(ChainError::Unavailable)
    }

    fn cache_records(&self, records: Vec<TurnRecord>) -> Vec<Arc<Turn>> {
        let now = self.now();
        let mut cache = self.shared.cache.lock();
        let turns: Vec<Arc<Turn>> = records
            .into_iter()
            .filter_map(TurnRecord::into_turn)
            .map(Arc::new)
            .collect();
        for turn in turns.iter().rev() {
            cache.insert(now, Arc::clone(turn));
        }
        turns
    }

    /// Reads from the machines of the program's groups, those of the client's own zone first, with hedged
    /// requests to the others.
    async fn search_group(&self, view: &StorageView, key: &TurnKey, deadline: Instant) -> Search {
        let mut members = self.group_members(view, &key.program);
        members.sort_by_key(|member| member.zone != self.shared.zone);
        let operation = Operation::ReadChain {
            program: key.program.clone(),
            request_id: key.request_id.clone(),
        };
        let request = EncodedRequest::new(view.epoch, &operation);
        let mut remaining = members.into_iter();
        let mut requests = JoinSet::new();
        let mut all_answered = true;
        loop {
            if let Some(member) = remaining.next() {
                let (client, request) = (self.clone(), request.clone());
                requests.spawn(
                    async move { client.exchange(&member, &request, ATTEMPT_TIMEOUT).await },
                );
            } else if requests.is_empty() {
                return Search::NotFound { all_answered };
            }
            let hedge_at = if remaining.len() > 0 {
                Instant::now() + HEDGE_DELAY
            } else {
                deadline
            };
            match timeout_at(hedge_at.min(deadline), requests.join_next()).await {
                Ok(Some(Ok(Ok(Answer::Chain { turns })))) if !turns.is_empty() => {
                    return Search::Found(turns);
                }
                Ok(Some(Ok(Ok(Answer::Chain { .. })))) | Ok(None) => {}
                Ok(Some(_)) => all_answered = false,
                Err(_) if Instant::now() >= deadline => {
                    return Search::NotFound {
                        all_answered: false,
                    };
                }
                Err(_) => {}
            }
        }
    }

    /// Searches every machine for a program that has the turn.
    async fn search_all_machines(
        &self,
        view: &StorageView,
        key: &TurnKey,
        deadline: Instant,
    ) -> Search {
        let operation = Operation::Find {
            request_id: key.request_id.clone(),
        };
        let request = EncodedRequest::new(view.epoch, &operation);
        let mut requests = JoinSet::new();
        for member in view.members() {
            let (client, request, member) = (self.clone(), request.clone(), member.clone());
            requests
                .spawn(async move { client.exchange(&member, &request, ATTEMPT_TIMEOUT).await });
        }
        let mut all_answered = !requests.is_empty();
        while let Ok(Some(answer)) = timeout_at(deadline, requests.join_next()).await {
            match answer {
                Ok(Ok(Answer::Found { programs })) => {
                    if let Some(program) = programs.into_iter().next() {
                        let found = TurnKey::new(&program, &key.request_id);
                        return self.search_group(view, &found, deadline).await;
                    }
                }
                _ => all_answered = false,
            }
        }
        Search::NotFound {
            all_answered: all_answered && requests.is_empty(),
        }
    }

    /// Machines of the program's groups, each disk once, in no particular order.
    fn group_members(&self, view: &StorageView, program: &str) -> Vec<StorageMember> {
        let mut members: HashMap<u64, StorageMember> = HashMap::new();
        for membership in view.memberships() {
            for member in group(membership, program, self.shared.tolerated_losses) {
                members.entry(member.disk).or_insert_with(|| member.clone());
            }
        }
        members.into_values().collect()
    }
}
