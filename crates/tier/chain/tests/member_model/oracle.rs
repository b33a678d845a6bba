//! What must hold of everything that the members say and do.

use std::collections::BTreeMap;

use woadreach_chain::{
    AppliedConfiguration, Ballot, Command, ControlState, PutConfiguration, Rejection, Reply,
    Request, RequestId, View,
};

/// A request that was handed to a head.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct IssuedRequest {
    /// Position in the list of orders; none for a read.
    order: Option<usize>,
    /// Acknowledged configurations when it was handed over.
    acknowledged: usize,
    is_answered: bool,
}

/// A request with the number that it was issued under.
#[derive(Clone, Debug)]
pub(crate) struct NumberedRequest {
    pub id: RequestId,
    pub request: Request,
}

/// Everything that was said so far.
#[derive(Clone, Debug, Default)]
pub(crate) struct Oracle {
    /// The first violation that was found.
    pub violation: Option<String>,
    /// The longest history that a tail has committed.
    committed: Vec<AppliedConfiguration>,
    /// Epochs in which something was committed, with the length of the history.
    commits: BTreeMap<u64, usize>,
    /// The longest history that was acknowledged.
    acknowledged: usize,
    /// Orders that were rejected and sent only once; none may ever be committed.
    rejected: Vec<usize>,
    /// Every request, by its number.
    requests: Vec<IssuedRequest>,
    /// The view of each epoch.
    decided: BTreeMap<u64, View>,
    /// Views that a ballot has proposed.
    proposed: BTreeMap<(u64, Ballot), View>,
}

/// The operators' orders, in the order in which they are sent: two on one generation, one sent again, and one
/// that goes on.
pub(crate) fn order(position: usize) -> PutConfiguration {
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

    /// A ballot proposes a view.
    pub(crate) fn record_proposal(&mut self, epoch: u64, ballot: Ballot, view: &View) {
        let first = self
            .proposed
            .entry((epoch, ballot))
            .or_insert_with(|| view.clone());
        if first != view {
            let first = first.clone();
            self.fail(format!(
                "{ballot:?} of epoch {epoch} proposes {first:?} and {view:?}"
            ));
        }
    }

    /// A view comes into force at a member, whose state is `state` after that if it is the head.
    pub(crate) fn record_view(&mut self, view: &View, head: Option<&ControlState>) {
        let first = self
            .decided
            .entry(view.epoch)
            .or_insert_with(|| view.clone());
        if first != view {
            let first = first.clone();
            self.fail(format!("two views for one epoch: {first:?} and {view:?}"));
        }
        let Some(state) = head else { return };
        let before = self
            .commits
            .range(..view.epoch)
            .map(|(_, length)| *length)
            .max()
            .unwrap_or(0);
        if !state.applied.starts_with(&self.committed[..before]) {
            self.fail(format!("the head of {view:?} lacks what was committed"));
        }
    }

    /// A tail has committed `state` in `epoch`.
    pub(crate) fn record_commit(&mut self, epoch: u64, state: &ControlState) {
        let found = &state.applied;
        let common = found.len().min(self.committed.len());
        if found[..common] != self.committed[..common] {
            self.fail(format!("two histories: {found:?} and {:?}", self.committed));
        }
        if found
            .windows(2)
            .any(|pair| pair[0].generation >= pair[1].generation)
        {
            self.fail(format!("generations do not rise: {found:?}"));
        }
        if self.rejected.iter().any(|&rejected| {
            found
                .iter()
                .any(|applied| applied.digest == order(rejected).digest)
        }) {
            self.fail("a rejected order is in force");
        }
        if self.commits.range(epoch + 1..).next().is_some() && found.len() > self.committed.len() {
            self.fail("an older epoch commits after a newer one");
        }
        let length = self.commits.entry(epoch).or_default();
        *length = found.len().max(*length);
        if found.len() > self.committed.len() {
            self.committed.clone_from(found);
        }
    }

    /// Issues the order at `position` in the list of orders.
    pub(crate) fn issue_order(&mut self, position: usize) -> NumberedRequest {
        let command = Command::PutConfiguration(order(position));
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

    fn issue(&mut self, order: Option<usize>, request: Request) -> NumberedRequest {
        let id = RequestId(self.requests.len() as u64);
        self.requests.push(IssuedRequest {
            order,
            acknowledged: self.acknowledged,
            is_answered: false,
        });
        NumberedRequest { id, request }
    }

    /// Whether the request has a clear answer.
    pub(crate) fn is_answered(&self, id: RequestId) -> bool {
        self.requests[id.0 as usize].is_answered
    }

    /// A head answers; `published` is the state that it has published.
    pub(crate) fn record_reply(&mut self, id: RequestId, reply: &Reply, published: &ControlState) {
        let issued = self.requests[id.0 as usize].clone();
        if matches!(reply, Reply::Unavailable | Reply::Undecided(_)) {
            return;
        }
        self.requests[id.0 as usize].is_answered = true;
        match (reply, issued.order) {
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
            _ => self.fail(format!("{reply:?} to {issued:?}")),
        }
    }

    fn check_acknowledgement(&mut self, position: usize) {
        let order = order(position);
        match self
            .committed
            .iter()
            .position(|applied| applied.digest == order.digest)
        {
            Some(index) => self.acknowledged = self.acknowledged.max(index + 1),
            None => self.fail("acknowledged and not committed"),
        }
    }

    fn check_rejection(&mut self, position: usize, issued: &IssuedRequest, rejection: Rejection) {
        let order = order(position);
        let is_known = |applied: &AppliedConfiguration| applied.digest == order.digest;
        if self.committed[..issued.acknowledged].iter().any(is_known) {
            self.fail("an acknowledged order is rejected when it is sent again");
        }
        let current = match rejection {
            Rejection::BaseMismatch { current } | Rejection::StaleGeneration { current } => current,
            Rejection::StorageEpochMismatch { .. } => {
                return self.fail("a refusal of another kind");
            }
        };
        self.check_read(issued, current);
        if self.committed.iter().any(is_known) {
            // The first copy of it may have been applied since; the same order is then acknowledged, not
            // rejected.
            self.fail("a committed order is rejected");
        }
        let is_sent_twice = self.requests.iter().filter(|other| {
            other
                .order
                .is_some_and(|other| self::order(other).digest == order.digest)
        });
        if is_sent_twice.count() == 1 {
            self.rejected.push(position);
        }
    }

    /// An answer was based on `generation` as the newest.
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
