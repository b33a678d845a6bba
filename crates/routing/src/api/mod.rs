//! Plain types that callers exchange with the routing decisions.
//!
//! Times and durations are [`Seconds`], since the decisions also run on simulated clocks. A caller starts with
//! [`Settings`], reports each [`ListedReplica`] and the [`Outcome`] of each [`Attempt`], and carries out the [`Plan`]
//! that is returned for a [`Search`].

mod endpoints;
mod health;
mod ids;
mod plan;
mod search;
mod settings;
mod units;

pub use endpoints::{ListedReplica, NearZones, SlowStartDemand, ZoneFailoverState, ZoneHealth};
pub use health::{EjectionConfig, HealthChange, Observation};
pub use ids::{
    AttemptId, CellId, PartId, QueryTypeId, ReplicaId, SearchId, ShardId, TenantId, ZoneId,
};
pub use plan::{LogEvent, Placement, Plan, Reply};
pub use search::{Attempt, Ending, Outcome, Part, Search};
pub use settings::{QueryType, Repeat, RetryBudgetConfig, Settings, SlowStartConfig};
pub use units::{Seconds, Share, WarmReplicas};
