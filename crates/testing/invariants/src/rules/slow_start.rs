//! A replica that warms up is not overloaded by what all co-ordinators send it.

use crate::breach::Rule;
use crate::checker::Checker;
use crate::event::{NodeId, ReplicaName};
use crate::state::{ReceivedWork, Replica, ReplicaStart};
use crate::terms::Cold;

/// The share of its capacity, in cores, that a replica has at this time.
fn capacity(cold: &Cold, start: ReplicaStart, at: f64) -> f64 {
    let warmed_up = ((at - start.at) / cold.time).min(1.0);
    start.cores * (cold.from + (1.0 - cold.from) * warmed_up)
}

impl Replica {
    /// Requests of mean work that it received in the window.
    fn requests(&self, cold: &Cold, counts: impl Fn(&ReceivedWork) -> bool) -> f64 {
        let work = self.work.iter().filter(|w| counts(w)).map(|w| w.work);
        work.sum::<f64>() / cold.work
    }
}

impl Checker {
    pub(crate) fn check_slow_start(
        &mut self,
        at: f64,
        node: NodeId,
        replica: &ReplicaName,
        work: f64,
    ) {
        let Some(cold) = self.terms.cold.clone() else {
            return;
        };
        let Some(r) = self.replicas.get_mut(replica) else {
            return;
        };
        let warming = r.start.filter(|s| at < s.at + cold.time && !r.overloaded);
        let Some(start) = warming else { return };
        r.work.push_back(ReceivedWork {
            at,
            work,
            sender_notified: r.notified.contains(&node),
        });
        while r.work.front().is_some_and(|w| w.at + cold.window <= at) {
            r.work.pop_front();
        }
        let received = r.requests(&cold, |_| true);
        let budget = cold.multiple * capacity(&cold, start, at) * cold.window / cold.work;
        let allowed = budget + 2.0 * budget.sqrt() + 2.0;
        if received <= allowed {
            return;
        }
        r.overloaded = true;
        let notified = r.requests(&cold, |w| w.sender_notified);
        // Over two thirds of it must have come from senders that knew of the start.
        if !cold.untold_too && notified * 3.0 <= received * 2.0 {
            return;
        }
        let why = format!(
            "{replica}, {:.2} s old, was sent {received:.1} requests of mean work in {} s: {budget:.1} are \
             its budget, {allowed:.1} the most that chance brings",
            at - start.at,
            cold.window
        );
        self.report_coordinator(Rule::ColdNotPushedOver, node, why);
    }
}
