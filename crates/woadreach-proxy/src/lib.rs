//! Data plane of the serving tier.
