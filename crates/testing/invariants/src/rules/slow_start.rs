//! Checks [`Rule::NoSlowStartOverload`]: the co-ordinators together do not overload a replica that warms up.

use crate::breach::Rule;
use crate::checker::Checker;
use crate::event::{CoordinatorId, ReplicaName};
use crate::state::{ReceivedWork, Replica, ReplicaStart};
use crate::terms::SlowStart;
use crate::units::{CoreSeconds, Seconds};

/// Capacity of a replica at time `at`, in cores.
fn capacity(terms: &SlowStart, start: ReplicaStart, at: Seconds) -> f64 {
    let warmed_up = ((at - start.at) / terms.duration).min(1.0);
    start.cores * (terms.initial_capacity + (1.0 - terms.initial_capacity) * warmed_up)
}

impl Replica {
    /// Work received in the window that `counts` accepts, as a number of requests of mean work.
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
        // More than two thirds of the work must be from senders whose agents had listed the start.
        if !terms.counts_unlisted_senders && notified * 3.0 <= received * 2.0 {
            return;
        }
        let why = format!(
            "{name} received, {:.2} s after its start, {received:.1} requests of mean work in {} s: the budget is \
             {budget:.1}, with the tolerance for random variation {allowed:.1}",
            at - start.at,
            terms.overload_window
        );
        self.report_coordinator(Rule::NoSlowStartOverload, node, why);
    }
}
