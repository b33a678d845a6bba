//! Durable state: two slots written in turn with a short log between.
