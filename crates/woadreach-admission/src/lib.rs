//! Decisions of the data plane: placement, hold, retry, refusal.
