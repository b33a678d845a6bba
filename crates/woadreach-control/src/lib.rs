//! Control plane and storage of the serving tier: the roles of the binary `woadreach-control`.

pub mod instances;
pub mod storage_role;
