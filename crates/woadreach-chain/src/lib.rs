//! Decisions of the control plane: agreed view, chain replication, control state.
