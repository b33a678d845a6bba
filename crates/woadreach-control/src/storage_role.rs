//! The `storage` role: keeps turns and programs' budgets.
