//! Reading a chain: from the cache, the nearest machine of the group, the others, and at last all machines.

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

/// How long a chain may take.
const CHAIN_TIMEOUT: Duration = Duration::from_millis(1_200);
/// How long one try waits for a machine's answer.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(400);
/// When the next machine is asked beside one that has not answered.
const HEDGE_DELAY: Duration = Duration::from_millis(50);
/// Pause before everything is asked again.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// What asking all machines of a group came to.
enum Search {
    Found(Vec<TurnRecord>),
    /// Nobody of those that answered has it; whether all have answered.
    Nowhere {
        all_answered: bool,
    },
}

impl StorageClient {
    pub(super) async fn read_chain(&self, newest: TurnKey) -> Result<Vec<Arc<Turn>>, ChainError> {
        let deadline = Instant::now() + CHAIN_TIMEOUT;
        let mut chain = Vec::new();
        let mut next = Some(newest);
        while let Some(key) = next {
            let mut part = self.shared.cache.lock().chain(&key);
            if part.is_empty() {
                part = self.fetch_chain(&key, deadline, chain.is_empty()).await?;
            }
            next = part.last().and_then(|oldest| oldest.previous.clone());
            chain.extend(part);
        }
        chain.reverse();
        Ok(chain)
    }

    /// A part of the chain from the machines, newest first. Only the newest turn may turn out not to exist:
    /// a missing ancestor is out of reach.
    async fn fetch_chain(
        &self,
        key: &TurnKey,
        deadline: Instant,
        is_newest: bool,
    ) -> Result<Vec<Arc<Turn>>, ChainError> {
        while Instant::now() < deadline {
            let view = self.view();
            match self.search_group(&view, key, deadline).await {
                Search::Found(records) => return Ok(self.remember(records)),
                Search::Nowhere { .. } if !is_newest => {}
                Search::Nowhere { .. } => {
                    match self.search_everywhere(&view, key, deadline).await {
                        Search::Found(records) => return Ok(self.remember(records)),
                        Search::Nowhere { all_answered: true } => return Err(ChainError::NotFound),
                        Search::Nowhere {
                            all_answered: false,
                        } => {}
                    }
                }
            }
            sleep(RETRY_INTERVAL).await;
        }
        Err(ChainError::Unavailable)
    }

    fn remember(&self, records: Vec<TurnRecord>) -> Vec<Arc<Turn>> {
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

    /// Asks the machines of the program's groups, the nearest first, the next ones when it is slow.
    async fn search_group(&self, view: &StorageView, key: &TurnKey, deadline: Instant) -> Search {
        let mut members = self.group_members(view, &key.program);
        members.sort_by_key(|member| member.zone != self.shared.zone);
        let operation = Operation::ReadChain {
            program: key.program.clone(),
            request_id: key.request_id.clone(),
        };
        let request = EncodedRequest::new(view.epoch, &operation);
        let mut waiting = members.into_iter();
        let mut asked = JoinSet::new();
        let mut all_answered = true;
        loop {
            if let Some(member) = waiting.next() {
                let (client, request) = (self.clone(), request.clone());
                asked.spawn(
                    async move { client.exchange(&member, &request, ATTEMPT_TIMEOUT).await },
                );
            } else if asked.is_empty() {
                return Search::Nowhere { all_answered };
            }
            let hedge_at = if waiting.len() > 0 {
                Instant::now() + HEDGE_DELAY
            } else {
                deadline
            };
            match timeout_at(hedge_at.min(deadline), asked.join_next()).await {
                Ok(Some(Ok(Ok(Answer::Chain { turns })))) if !turns.is_empty() => {
                    return Search::Found(turns);
                }
                Ok(Some(Ok(Ok(Answer::Chain { .. })))) | Ok(None) => {}
                Ok(Some(_)) => all_answered = false,
                Err(_) if Instant::now() >= deadline => {
                    return Search::Nowhere {
                        all_answered: false,
                    };
                }
                Err(_) => {}
            }
        }
    }

    /// Asks every machine whether any program has the turn.
    async fn search_everywhere(
        &self,
        view: &StorageView,
        key: &TurnKey,
        deadline: Instant,
    ) -> Search {
        let operation = Operation::Find {
            request_id: key.request_id.clone(),
        };
        let request = EncodedRequest::new(view.epoch, &operation);
        let mut asked = JoinSet::new();
        for member in view.members() {
            let (client, request, member) = (self.clone(), request.clone(), member.clone());
            asked.spawn(async move { client.exchange(&member, &request, ATTEMPT_TIMEOUT).await });
        }
        let mut all_answered = !asked.is_empty();
        while let Ok(Some(answer)) = timeout_at(deadline, asked.join_next()).await {
            match answer {
                Ok(Ok(Answer::Found { programs })) => {
                    if let Some(program) = programs.into_iter().next() {
                        let found = TurnKey {
                            program,
                            request_id: key.request_id.clone(),
                        };
                        return self.search_group(view, &found, deadline).await;
                    }
                }
                _ => all_answered = false,
            }
        }
        Search::Nowhere {
            all_answered: all_answered && asked.is_empty(),
        }
    }

    fn group_members(&self, view: &StorageView, program: &str) -> Vec<StorageMember> {
        let mut members: HashMap<u64, StorageMember> = HashMap::new();
        for list in std::iter::once(&view.current).chain(&view.next) {
            for member in group(list, program, self.shared.tolerated) {
                members.entry(member.disk).or_insert_with(|| member.clone());
            }
        }
        members.into_values().collect()
    }
}
