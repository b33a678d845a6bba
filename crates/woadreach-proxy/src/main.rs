//! Data plane of the serving tier.

fn main() {}
