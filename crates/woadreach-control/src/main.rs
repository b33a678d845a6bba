//! Control plane and storage of the serving tier.

fn main() {}
