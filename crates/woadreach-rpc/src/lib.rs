//! Framed requests and responses between processes.
