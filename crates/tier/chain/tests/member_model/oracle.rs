//! Oracle of the searches: records proposals, views, commits and replies, and checks them for violations.

use std::collections::BTreeMap;

use woadreach_chain::{
    AppliedConfiguration, Ballot, Command, ControlState, PutConfiguration, Rejection, Reply,
    Request, RequestId, View,
};

/// A request that was submitted to a head.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct IssuedRequest {
    /// Position in the list of changes; `None` for a read.
    change: Option<usize>,
    /// Number of acknowledged configurations when the request was submitted.
    acknowledged: usize,
    is_answered: bool,
}

#[derive(Clone, Debug)]
pub(crate) struct NumberedRequest {
    pub id: RequestId,
    pub request: Request,
}

/// History of the search path so far.
#[derive(Clone, Debug, Default)]
pub(crate) struct Oracle {
    /// The first violation that was found.
    pub violation: Option<String>,
    /// The longest sequence of configurations that a tail has committed.
    committed: Vec<AppliedConfiguration>,
    /// For each epoch in which a tail has committed, the length of the committed sequence.
    commits: BTreeMap<u64, usize>,
    /// Length of the longest acknowledged sequence of configurations.
    acknowledged: usize,
    /// Changes that were rejected and sent only once; none may ever be committed.
    rejected: Vec<usize>,
    /// Every request, by its number.
    requests: Vec<IssuedRequest>,
    /// The decided view of each epoch.
    decided: BTreeMap<u64, View>,
    /// The view that each ballot of each epoch has proposed.
    proposed: BTreeMap<(u64, Ballot), View>,
}

/// The operators' changes, in the sequence in which they are sent: two with the same base, a duplicate of the
/// first, and one based on the first.
pub(crate) fn change(position: usize) -> PutConfiguration {
    let (base, generation, name) =
        [(0, 1, b'a'), (0, 1, b'b'), (0, 1, b'a'), (1, 2, b'c')][position];
    PutConfiguration {
        base,
        generation,
        digest: [name; 16],
        body: vec![name].into(),
    }
}

impl Oracle {
    fn fail(&mut self, what: impl Into<String>) {
        self.violation.get_or_insert(what.into());
    }

    pub(crate) fn canonical(&self) -> impl std::fmt::Debug + '_ {
        (
            &self.committed,
            &self.commits,
            self.acknowledged,
            &self.rejected,
            &self.requests,
            &self.proposed,
        )
    }

    pub(crate) fn newest_epoch(&self) -> u64 {
        self.decided.keys().next_back().copied().unwrap_or_default()
    }

    pub(crate) fn has_acknowledgements(&self) -> bool {
        self.acknowledged > 0
    }

    /// Records the view that a ballot proposes.
    pub(crate) fn record_proposal(&mut self, epoch: u64, ballot: Ballot, view: &View) {
        let first = self
            .proposed
            .entry((epoch, ballot))
            .or_insert_with(|| view.clone());
        if first != view {
            let first = first.clone();
            self.fail(format!(
                "{ballot:?} of epoch {epoch} proposes two views: {first:?} and {view:?}"
            ));
        }
    }

    /// Records that a member has installed a view. `head` is the member's state if it is the head.
    pub(crate) fn record_view(&mut self, view: &View, head: Option<&ControlState>) {
        let first = self
            .decided
            .entry(view.epoch)
            .or_insert_with(|| view.clone());
        if first != view {
            let first = first.clone();
            self.fail(format!("two views of one epoch: {first:?} and {view:?}"));
        }
        let Some(state) = head else { return };
        let before = self
            .commits
            .range(..view.epoch)
            .map(|(_, length)| *length)
            .max()
            .unwrap_or(0);
        if !state.applied.starts_with(&self.committed[..before]) {
            self.fail(format!("the head of {view:?} lacks committed changes"));
        }
    }

    /// Records that a tail has committed `state` in `epoch`.
    pub(crate) fn record_commit(&mut self, epoch: u64, state: &ControlState) {
        let found = &state.applied;
        let common = found.len().min(self.committed.len());
        if found[..common] != self.committed[..common] {
            self.fail(format!(
                "committed sequences diverge: {found:?} and {:?}",
                self.committed
            ));
        }
        if found
            .windows(2)
            .any(|pair| pair[0].generation >= pair[1].generation)
        {
            self.fail(format!("generations do not increase: {found:?}"));
        }
        if self.rejected.iter().any(|&rejected| {
            found
                .iter()
                .any(|applied| applied.digest == change(rejected).digest)
        }) {
            self.fail("a rejected change was committed");
        }
        if self.commits.range(epoch + 1..).next().is_some() && found.len() > self.committed.len() {
            self.fail("an older epoch has committed after a newer one");
        }
        let length = self.commits.entry(epoch).or_default();
        *length = found.len().max(*length);
        if found.len() > self.committed.len() {
            self.committed.clone_from(found);
        }
    }

    /// Issues the change at `position` in the list of changes.
    pub(crate) fn issue_change(&mut self, position: usize) -> NumberedRequest {
        let command = Command::PutConfiguration(change(position));
        self.issue(Some(position), Request::Submit(command))
    }

    /// Issues a read of the configuration.
    pub(crate) fn issue_read(&mut self) -> NumberedRequest {
        self.issue(None, Request::ReadConfiguration)
    }

    /// Issues a confirmation of the published state.
    pub(crate) fn issue_confirmation(&mut self) -> NumberedRequest {
        self.issue(None, Request::Confirm)
    }

    fn issue(&mut self, change: Option<usize>, request: Request) -> NumberedRequest {
        let id = RequestId(self.requests.len() as u64);
        self.requests.push(IssuedRequest {
            change,
            acknowledged: self.acknowledged,
            is_answered: false,
        });
        NumberedRequest { id, request }
    }

    /// Whether the request has a definite answer.
    pub(crate) fn is_answered(&self, id: RequestId) -> bool {
        self.requests[id.0 as usize].is_answered
    }

    /// Records the reply of a head. `published` is the state that it has published.
    pub(crate) fn record_reply(&mut self, id: RequestId, reply: &Reply, published: &ControlState) {
        let issued = self.requests[id.0 as usize].clone();
        if matches!(reply, Reply::Unavailable | Reply::Undecided(_)) {
            return;
        }
        self.requests[id.0 as usize].is_answered = true;
        match (reply, issued.change) {
            (Reply::Committed | Reply::AlreadyCommitted, Some(position)) => {
                self.check_acknowledgement(position)
            }
            (Reply::Rejected(rejection), Some(position)) => {
                self.check_rejection(position, &issued, *rejection)
            }
            (Reply::Configuration(found), None) => {
                let generation = found.as_ref().map_or(0, |stored| stored.generation);
                self.check_read(&issued, generation);
            }
            (Reply::Confirmed, None) => self.check_read(&issued, published.generation()),
            _ => self.fail(format!("unexpected reply {reply:?} to {issued:?}")),
        }
    }

    fn check_acknowledgement(&mut self, position: usize) {
        let change = change(position);
        match self
            .committed
            .iter()
            .position(|applied| applied.digest == change.digest)
        {
            Some(index) => self.acknowledged = self.acknowledged.max(index + 1),
            None => self.fail("an acknowledged change is not committed"),
        }
    }

    fn check_rejection(&mut self, position: usize, issued: &IssuedRequest, rejection: Rejection) {
        let change = change(position);
        let is_known = |applied: &AppliedConfiguration| applied.digest == change.digest;
        if self.committed[..issued.acknowledged].iter().any(is_known) {
            self.fail("a duplicate of an acknowledged change was rejected");
        }
        let current = match rejection {
            Rejection::BaseMismatch { current } | Rejection::StaleGeneration { current } => current,
            Rejection::StorageEpochMismatch { .. } => {
                return self.fail("a configuration was rejected for a storage epoch");
            }
        };
        self.check_read(issued, current);
        if self.committed.iter().any(is_known) {
            // An earlier copy of the change may have been applied since. The reply must then be an
            // acknowledgement, not a rejection.
            self.fail("a committed change was rejected");
        }
        let is_sent_twice = self.requests.iter().filter(|other| {
            other
                .change
                .is_some_and(|other| self::change(other).digest == change.digest)
        });
        if is_sent_twice.count() == 1 {
            self.rejected.push(position);
        }
    }

    /// Checks an answer that reports `generation` as the newest.
    fn check_read(&mut self, issued: &IssuedRequest, generation: u64) {
        let newest = self.committed[..issued.acknowledged]
            .last()
            .map_or(0, |applied| applied.generation);
        if generation < newest {
            self.fail(format!(
                "generation {generation} was read after {newest} was acknowledged"
            ));
        }
        let is_committed = self
            .committed
            .iter()
            .any(|applied| applied.generation == generation);
        if generation > 0 && !is_committed {
            self.fail(format!(
                "generation {generation} was read and is not committed"
            ));
        }
    }
}
