//! A replica that warms up is not overloaded by what all co-ordinators send it.

use crate::breach::Rule;
use crate::checker::Checker;
use crate::event::{CoordinatorId, ReplicaName};
use crate::state::{ReceivedWork, Replica, ReplicaStart};
use crate::terms::SlowStart;
use crate::units::{CoreSeconds, Seconds};

/// The capacity that a replica has at this time, in cores.
fn capacity(terms: &SlowStart, start: ReplicaStart, at: Seconds) -> f64 {
    let warmed_up = ((at - start.at) / terms.duration).min(1.0);
    start.cores * (terms.initial_capacity + (1.0 - terms.initial_capacity) * warmed_up)
}

impl Replica {
    /// Requests of mean work that it received in the window.
    fn requests(&self, terms: &SlowStart, counts: impl Fn(&ReceivedWork) -> bool) -> f64 {
        let work = self
            .work
            .iter()
            .filter(|work| counts(work))
            .map(|work| work.work);
        work.sum::<f64>() / terms.mean_work
    }
}

impl Checker {
    pub(crate) fn check_slow_start(
        &mut self,
        at: Seconds,
        node: CoordinatorId,
        name: &ReplicaName,
        work: CoreSeconds,
    ) {
        let Some(terms) = self.terms.slow_start.clone() else {
            return;
        };
        let Some(replica) = self.replicas.get_mut(name) else {
            return;
        };
        let warming = replica
            .start
            .filter(|start| at < start.at + terms.duration && !replica.overloaded);
        let Some(start) = warming else { return };
        replica.work.push_back(ReceivedWork {
            at,
            work,
            sender_notified: replica.notified.contains(&node),
        });
        while replica
            .work
            .front()
            .is_some_and(|work| work.at + terms.overload_window <= at)
        {
            replica.work.pop_front();
        }
        let received = replica.requests(&terms, |_| true);
        let budget = terms.overload_multiple * capacity(&terms, start, at) * terms.overload_window
            / terms.mean_work;
        let allowed = budget + 2.0 * budget.sqrt() + 2.0;
        if received <= allowed {
            return;
        }
        replica.overloaded = true;
        let notified = replica.requests(&terms, |work| work.sender_notified);
        // Over two thirds of it must have come from senders that knew of the start.
        if !terms.counts_unlisted_senders && notified * 3.0 <= received * 2.0 {
            return;
        }
        let why = format!(
            "{name}, {:.2} s old, was sent {received:.1} requests of mean work in {} s: {budget:.1} are \
             its budget, {allowed:.1} the most that chance brings",
            at - start.at,
            terms.overload_window
        );
        self.report_coordinator(Rule::NoSlowStartOverload, node, why);
    }
}
