//! Fake replicas and their entries in the endpoint list.

use super::{Cluster, Lifecycle, ReplicaSlot};
use crate::killable::KillableRuntime;
use crate::relay::ZonePair;
use std::io;
use std::net::SocketAddr;
use woadreach_fakes::{Behaviour, ListEntry, WarmUp};
use woadreach_invariants::CoordinatorId;
use woadreach_runtime::Net;
use woadreach_simulation::seed_of;

impl Cluster {
    pub(super) async fn set_up_replicas(&mut self) -> io::Result<()> {
        for replica in 0..self.script.replicas() {
            let replicas_per_group = self.script.fleet.replicas;
            let zone = replica % replicas_per_group % self.config.zones;
            let mut listens = Vec::new();
            let mut listed = Vec::new();
            for node in 0..self.config.co_ordinators {
                let address = self.addresses.replica(zone, replica, node);
                listens.push((CoordinatorId(node), address));
                listed.push(self.address_as_seen_from(node, zone, address).await?);
            }
            self.replicas.push(ReplicaSlot {
                name: format!("r{replica}"),
                zone,
                shard_group: (replica / replicas_per_group) as u64,
                listens,
                listed,
                host: KillableRuntime::new(self.net),
                handle: None,
                started_at: 0.0,
            });
            self.start_replica(replica, false)?;
        }
        Ok(())
    }

    /// Address through which the co-ordinator `node` reaches `address` in `zone`: a new one of the relay if the
    /// co-ordinator is in another zone.
    async fn address_as_seen_from(
        &self,
        node: usize,
        zone: usize,
        address: SocketAddr,
    ) -> io::Result<SocketAddr> {
        let from = self.zone_of_co_ordinator(node);
        if from == zone {
            return Ok(address);
        }
        let listen = self.addresses.relay(from);
        let zones = ZonePair { from, to: zone };
        self.relay.relay_connections(listen, address, zones).await
    }

    pub(super) fn start_replica(&mut self, replica: usize, is_warming_up: bool) -> io::Result<()> {
        let slow_start = self.script.settings.slow_start.as_ref();
        let behaviour = Behaviour {
            cores: self.script.fleet.cores,
            queue_capacity: self.script.fleet.queue_capacity,
            warm_up: slow_start
                .filter(|_| is_warming_up)
                .map(|slow_start| WarmUp {
                    initial_share: slow_start.initial_share,
                    duration: slow_start.duration_s,
                }),
            ..Behaviour::default()
        };
        let is_warming_up = behaviour.warm_up.is_some();
        let seed = seed_of(self.config.seed, &format!("r{replica}"));
        let recorder = self.recorder_of_replica(replica, is_warming_up);
        let now = self.net.now();
        let slot = &mut self.replicas[replica];
        slot.host = KillableRuntime::new(self.net);
        slot.handle = Some(woadreach_fakes::start_replica(
            &slot.host,
            &slot.name,
            behaviour,
            &slot.listens,
            seed,
            &recorder,
        )?);
        slot.started_at = if is_warming_up { now } else { 0.0 };
        Ok(())
    }

    /// Makes all discovery agents list these replicas with the state `lifecycle`.
    pub(super) fn list_replicas(&self, replicas: &[usize], lifecycle: Lifecycle) {
        for (node, co_ordinator) in self.co_ordinators.iter().enumerate() {
            let entries: Vec<ListEntry> = replicas
                .iter()
                .map(|replica| self.list_entry(*replica, node, lifecycle))
                .collect();
            co_ordinator.agent.change(&entries);
        }
    }

    fn list_entry(&self, replica: usize, node: usize, lifecycle: Lifecycle) -> ListEntry {
        let slot = &self.replicas[replica];
        ListEntry {
            id: slot.name.clone(),
            address: slot.listed[node],
            zone: format!("z{}", slot.zone),
            cell: slot.shard_group,
            lifecycle: lifecycle.name(),
            started_at: slot.started_at,
        }
    }
}
