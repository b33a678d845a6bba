//! Fake replicas and what the endpoint list says of them.

use super::{Cluster, Lifecycle, ReplicaSlot};
use crate::killable::Killable;
use crate::relay::ZonePair;
use std::io;
use std::net::SocketAddr;
use woadreach_fakes::{Behaviour, ListEntry, WarmUp};
use woadreach_invariants::CoordinatorId;
use woadreach_runtime::Net;
use woadreach_simulation::seed_of;

impl Cluster {
    pub(super) async fn place_replicas(&mut self) -> io::Result<()> {
        for replica in 0..self.script.replicas() {
            let of_group = self.script.fleet.replicas;
            let zone = replica % of_group % self.config.zones;
            let mut listens = Vec::new();
            let mut listed = Vec::new();
            for node in 0..self.config.co_ordinators {
                let address = self.addresses.replica(zone, replica, node);
                listens.push((CoordinatorId(node), address));
                listed.push(self.address_from(node, zone, address).await?);
            }
            self.replicas.push(ReplicaSlot {
                name: format!("r{replica}"),
                zone,
                shard_group: (replica / of_group) as u64,
                listens,
                listed,
                host: Killable::new(self.net),
                handle: None,
                started_at: 0.0,
            });
            self.start_replica(replica, false)?;
        }
        Ok(())
    }

    /// The address by which a co-ordinator reaches `address`, which is in `zone`.
    async fn address_from(
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
        slot.host = Killable::new(self.net);
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

    /// Has all discovery agents list these replicas with this state.
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
