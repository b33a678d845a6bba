//! Plain types between callers and the routing decisions. Nothing here decides.
//!
//! Times and durations are [`Seconds`], since the decisions run on simulated clocks too. A caller starts with
//! [`Settings`], reports [`ListedReplica`] replicas and the [`Outcome`] of each [`Attempt`], and carries out the [`Plan`]
//! that it gets for a [`Search`].

mod endpoints;
mod health;
mod ids;
mod plan;
mod search;
mod settings;
mod units;

pub use endpoints::{ListedReplica, NearZones, SlowStartDemand, ZoneFailoverState, ZoneHealth};
pub use health::{Change, EjectionConfig, Observation};
pub use ids::{
    AttemptId, CellId, PartId, QueryTypeId, ReplicaId, SearchId, ShardId, TenantId, ZoneId,
};
pub use plan::{Note, Placement, Plan, Reply};
pub use search::{Attempt, Ending, Outcome, Part, Search};
pub use settings::{QueryType, Repeat, RetryBudgetConfig, Settings, SlowStartConfig};
pub use units::{Seconds, Share, WarmReplicas};
