//! Replicas' registry, peer sampling of nodes, long-polls to the core and their client.
