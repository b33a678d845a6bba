//! Performs the actions of a schedule, which inject and end faults.

use super::{Cluster, LIST_READ_TIMEOUT, Lifecycle, ListChange, ListRead};
use crate::error::{PlayError, StartReplicaSnafu};
use crate::schedule::{Action, HOLDER_FAULT_SECONDS, HolderFault};
use snafu::ResultExt;
use woadreach_fakes::Behaviour;
use woadreach_runtime::Net;

/// Seconds from the kill of a replica until the endpoint list shows it as departed.
const DEPARTURE_LISTED_AFTER: f64 = 1.0;
/// Seconds from the start of a replica until the endpoint list shows it as ready.
const START_LISTED_AFTER: f64 = 0.2;
/// Seconds after SIGTERM within which a process must exit, as a supervisor that sends SIGKILL then would require: the
/// longest client time-out, 1.5 s, and 0.7 s more.
const EXIT_TIMEOUT: f64 = 2.2;
/// Minimum number of zones of which two are a minority.
const MIN_ZONES_FOR_MINORITY_OF_TWO: usize = 5;

impl Cluster {
    pub(super) fn perform(&mut self, action: &Action) -> Result<(), PlayError> {
        match action {
            Action::KillReplicas(zone) => self.kill_replicas(*zone),
            Action::StartReplicas(zone) => self.restart_replicas(*zone)?,
            Action::SlowReplicas { zone, factor } => {
                self.change_replicas(*zone, |behaviour| behaviour.speed = 1.0 / factor);
            }
            Action::HangReplicas { zone, is_hanging } => {
                self.change_replicas(*zone, |behaviour| behaviour.hangs = *is_hanging);
            }
            Action::DrainReplicas { zone, is_draining } => self.drain(*zone, *is_draining),
            Action::SuspendDiscovery(is_suspended) => {
                for co_ordinator in &self.co_ordinators {
                    co_ordinator.agent.set_unresponsive(*is_suspended);
                }
            }
            Action::AbandonSearches(abandon) => self.clients_abandon.set(*abandon),
            Action::Partition {
                from,
                to,
                is_partitioned,
            } => self.set_partitioned(*from, *to, *is_partitioned),
            Action::LoseDatagrams(share) => self.lose_datagrams(*share),
            Action::Terminate(nodes) => self.terminate(nodes),
            Action::Kill(nodes) => self.kill(nodes),
            Action::Start(nodes) => self.start(nodes)?,
            Action::Pause { nodes, seconds } => self.pause(nodes, *seconds),
            Action::Resume(nodes) => self.resume(nodes),
            Action::LeaseHolder(fault) => self.apply_holder_fault(*fault)?,
        }
        Ok(())
    }

    fn kill_replicas(&mut self, zone: usize) {
        for replica in self.replicas_of_zone(zone) {
            self.replicas[replica].host.kill();
            self.replicas[replica].handle = None;
            self.list_later(DEPARTURE_LISTED_AFTER, replica, Lifecycle::Departed);
        }
    }

    fn restart_replicas(&mut self, zone: usize) -> Result<(), PlayError> {
        for replica in self.replicas_of_zone(zone) {
            self.start_replica(replica, true)
                .context(StartReplicaSnafu { replica })?;
            self.list_later(START_LISTED_AFTER, replica, Lifecycle::Ready);
        }
        Ok(())
    }

    fn list_later(&mut self, seconds: f64, replica: usize, lifecycle: Lifecycle) {
        self.list_changes.push(ListChange {
            due: self.net.now() + seconds,
            replica,
            lifecycle,
        });
    }

    /// Applies `change` to the behaviour of the running replicas of a zone.
    fn change_replicas(&self, zone: usize, change: impl Fn(&mut Behaviour)) {
        for replica in self.replicas_of_zone(zone) {
            if let Some(handle) = &self.replicas[replica].handle {
                handle.change(&change);
            }
        }
    }

    fn drain(&mut self, zone: usize, is_draining: bool) {
        let lifecycle = if is_draining {
            Lifecycle::Draining
        } else {
            Lifecycle::Ready
        };
        self.list_replicas(&self.replicas_of_zone(zone), lifecycle);
        let due = self.net.now() + LIST_READ_TIMEOUT;
        let co_ordinators = self.co_ordinators.iter().enumerate();
        self.list_reads
            .extend(co_ordinators.map(|(node, co_ordinator)| ListRead {
                due,
                node,
                generation: co_ordinator.agent.generation(),
            }));
    }

    fn set_partitioned(&self, from: usize, to: usize, is_partitioned: bool) {
        if self.relay.is_partitioned(from, to) == is_partitioned {
            return;
        }
        for zone in [from, to] {
            for replica in self.replicas_of_zone(zone) {
                self.record_link_change(replica, is_partitioned);
            }
        }
        self.relay
            .change(from, to, |link| link.is_partitioned = is_partitioned);
    }

    fn lose_datagrams(&self, share: f64) {
        for from in 0..self.config.zones {
            for to in 0..self.config.zones {
                self.relay.change(from, to, |link| link.loss = share);
            }
        }
    }

    fn terminate(&mut self, nodes: &[usize]) {
        for node in nodes {
            if let Some(process) = &self.co_ordinators[*node].process {
                process.signal(libc::SIGTERM);
                self.terminating
                    .insert(*node, self.net.now() + EXIT_TIMEOUT);
            }
        }
    }

    fn kill(&mut self, nodes: &[usize]) {
        for node in nodes {
            self.accepts_clients[*node].set(false);
            self.record_process_kill(*node);
            self.drop_process(*node);
        }
    }

    fn start(&mut self, nodes: &[usize]) -> Result<(), PlayError> {
        nodes
            .iter()
            .try_for_each(|node| self.start_co_ordinator(*node))
    }

    /// Pauses the processes and stops clients from sending searches to them.
    fn pause(&self, nodes: &[usize], seconds: f64) {
        for node in nodes {
            self.record_process_pause(*node, seconds);
            if let Some(process) = &self.co_ordinators[*node].process {
                process.signal(libc::SIGSTOP);
            }
            self.accepts_clients[*node].set(false);
        }
    }

    fn resume(&self, nodes: &[usize]) {
        for node in nodes {
            if let Some(process) = &self.co_ordinators[*node].process {
                process.signal(libc::SIGCONT);
            }
            self.accepts_clients[*node].set(true);
        }
    }

    /// Injects a fault into the current lease holder, or ends the fault that was injected last. Does nothing if no
    /// running lease holder was known at the injection.
    fn apply_holder_fault(&mut self, fault: HolderFault) -> Result<(), PlayError> {
        if fault.is_injected() {
            self.choose_lease_holder(fault);
        }
        let Some(node) = self.faulted_holder else {
            return Ok(());
        };
        match fault {
            HolderFault::Pause => self.pause(&[node], HOLDER_FAULT_SECONDS),
            HolderFault::Resume => self.resume(&[node]),
            HolderFault::Kill => self.kill(&[node]),
            HolderFault::Start => self.start(&[node])?,
            HolderFault::Partition | HolderFault::PartitionMinority | HolderFault::Repair => {
                self.isolate(&self.isolated_zones(fault, node));
            }
        }
        Ok(())
    }

    fn choose_lease_holder(&mut self, fault: HolderFault) {
        let holder = self.measurements.borrow().lease_holder();
        self.faulted_holder = holder.filter(|node| self.co_ordinators[*node].process.is_some());
        if let Some(node) = self.faulted_holder {
            let isolated = self.isolated_zones(fault, node);
            self.measurements
                .borrow_mut()
                .record_holder_fault(self.net.now(), node, &isolated);
        }
    }

    /// Zones that `fault` partitions from the others if `holder` is the lease holder.
    fn isolated_zones(&self, fault: HolderFault, holder: usize) -> Vec<usize> {
        let zone = self.zone_of_co_ordinator(holder);
        let has_neighbour = self.config.zones >= MIN_ZONES_FOR_MINORITY_OF_TWO;
        match fault {
            HolderFault::PartitionMinority if has_neighbour => {
                vec![zone, (zone + 1) % self.config.zones]
            }
            HolderFault::Partition | HolderFault::PartitionMinority => vec![zone],
            _ => Vec::new(),
        }
    }

    /// Partitions these zones from all others, and repairs all other links.
    fn isolate(&self, zones: &[usize]) {
        for from in 0..self.config.zones {
            for to in (0..self.config.zones).filter(|to| *to != from) {
                let is_partitioned = zones.contains(&from) != zones.contains(&to);
                self.set_partitioned(from, to, is_partitioned);
            }
        }
    }
}
