//! A core on simulated time: machines with disks, a network that loses, delays and cuts, operators who race,
//! faults from a seed, and a checker of what the operators were told.

// Each test program uses a part of this module.
#![allow(dead_code)]

pub mod capacity;
pub mod cuts;
pub mod disk;
pub mod faults;
pub mod history;
pub mod operator;
pub mod stops;
pub mod world;
