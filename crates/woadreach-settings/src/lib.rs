//! The settings file of a process: reading and checking.
