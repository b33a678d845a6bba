//! All registered replicas, by service.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::keys::ReplicaKey;
use crate::replica::Replica;
use crate::spec::ReplicaSpec;

/// Registered replicas with indices by identifier and by service.
#[derive(Default)]
pub(crate) struct Fleet {
    replicas: BTreeMap<ReplicaKey, Replica>,
    by_id: BTreeMap<Arc<str>, ReplicaKey>,
    by_service: BTreeMap<Arc<str>, BTreeSet<ReplicaKey>>,
    last_key: u32,
}

impl Fleet {
    /// Applies the complete list of replicas. Returns the keys of those that are no longer listed.
    pub(crate) fn update(&mut self, now: f64, listed: &[ReplicaSpec]) -> Vec<ReplicaKey> {
        for spec in listed {
            match self
                .by_id
                .get(&spec.id)
                .and_then(|key| self.replicas.get_mut(key))
            {
                Some(replica) if replica.spec.service == spec.service => replica.update(now, spec),
                Some(_) => {
                    self.remove(&spec.id);
                    self.insert(now, spec);
                }
                None => self.insert(now, spec),
            }
        }
        let listed_ids: BTreeSet<&str> = listed.iter().map(|spec| &*spec.id).collect();
        let departed: Vec<Arc<str>> = self
            .by_id
            .keys()
            .filter(|id| !listed_ids.contains(&***id))
            .cloned()
            .collect();
        departed.iter().filter_map(|id| self.remove(id)).collect()
    }

    pub(crate) fn get(&self, key: ReplicaKey) -> Option<&Replica> {
        self.replicas.get(&key)
    }

    pub(crate) fn get_mut(&mut self, key: ReplicaKey) -> Option<&mut Replica> {
        self.replicas.get_mut(&key)
    }

    /// Records that another replica answers at the address of this one. The replica is not used until its record
    /// changes.
    pub(crate) fn mark_misdirected(&mut self, id: &str) {
        if let Some(replica) = self
            .by_id
            .get(id)
            .and_then(|key| self.replicas.get_mut(key))
        {
            replica.misdirected = true;
        }
    }

    /// Replicas of a service that may receive new calls.
    pub(crate) fn usable(&self, service: &str) -> impl Iterator<Item = (ReplicaKey, &Replica)> {
        let keys = self.by_service.get(service).into_iter().flatten();
        keys.filter_map(|key| Some((*key, self.replicas.get(key)?)))
            .filter(|(_, replica)| replica.is_usable())
    }

    /// Number of replicas that are ejected for at least one route.
    pub(crate) fn ejected(&self) -> usize {
        let replicas = self.replicas.values();
        replicas
            .filter(|replica| replica.health.is_ejected())
            .count()
    }

    fn insert(&mut self, now: f64, spec: &ReplicaSpec) {
        self.last_key += 1;
        let key = ReplicaKey::new(self.last_key);
        self.by_id.insert(spec.id.clone(), key);
        self.by_service
            .entry(spec.service.clone())
            .or_default()
            .insert(key);
        self.replicas.insert(key, Replica::new(now, spec.clone()));
    }

    fn remove(&mut self, id: &str) -> Option<ReplicaKey> {
        let key = self.by_id.remove(id)?;
        if let Some(replica) = self.replicas.remove(&key)
            && let Some(of_service) = self.by_service.get_mut(&replica.spec.service)
        {
            of_service.remove(&key);
            if of_service.is_empty() {
                self.by_service.remove(&replica.spec.service);
            }
        }
        Some(key)
    }
}
