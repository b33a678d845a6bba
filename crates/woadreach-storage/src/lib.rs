//! Kept turns and budgets: state, placement groups, quorum client, storage view.
