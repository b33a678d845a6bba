//! Plain types between callers and the routing decisions. Nothing here decides.
//!
//! Times are seconds from any origin that the caller chooses, as `f64`, since the decisions run on simulated
//! clocks too; durations are seconds. A caller starts with [`Settings`], reports [`Listed`] replicas and the
//! [`Outcome`] of each [`Attempt`], and carries out the [`Plan`] that it gets for a [`Search`].

mod endpoints;
mod health;
mod ids;
mod plan;
mod search;
mod settings;

pub use endpoints::{Listed, SlowStartDemand, ZoneFailoverState, ZoneHealth};
pub use health::{Change, EjectionConfig, Observation};
pub use ids::{CellId, PartId, QueryTypeId, ReplicaId, SearchId, ShardId, TenantId, ZoneId};
pub use plan::{Placement, Plan, Reply};
pub use search::{Attempt, Ending, Outcome, Part, Search};
pub use settings::{QueryType, Repeat, RetryBudgetConfig, Settings, SlowStartConfig};
