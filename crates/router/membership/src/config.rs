//! Timing of the membership protocol.

use std::time::Duration;

/// Timing and limits of the membership protocol. The reasons and measurements: `docs/failover.md#membership-timing`.
#[derive(Clone, Debug)]
pub struct MembershipConfig {
    /// Time between two probes by a member (SWIM's protocol period).
    pub probe_interval: Duration,
    /// How long a probe waits for a direct answer before other members are asked to probe. Must exceed the longest
    /// round trip.
    pub probe_timeout: Duration,
    /// How long a member is suspected before it is declared down (SWIM, section 4.2).
    pub suspicion_timeout: Duration,
    /// How many other members are asked to probe a member that has not answered (SWIM's ping-req, section 3.1).
    pub indirect_probes: usize,
    /// Time between two gossip messages while there are updates to spread. They go beside those that are piggybacked on
    /// probes (SWIM, section 4.1).
    pub gossip_interval: Duration,
    /// To how many members each gossip message goes.
    pub gossip_fanout: usize,
    /// Mean time between two announcements to missing members, while at most half of the roster is alive.
    pub join_interval: Duration,
    /// The same while more than half of the roster is alive.
    pub rejoin_interval: Duration,
    /// How long a member that is down is remembered, so that old updates can't make it alive again.
    pub down_memory: Duration,
    /// Limit on the bytes of a membership message. The rest of a datagram is for other payloads.
    pub max_message_bytes: usize,
}

impl Default for MembershipConfig {
    fn default() -> Self {
        MembershipConfig {
            probe_interval: Duration::from_secs(1),
            probe_timeout: Duration::from_millis(330),
            suspicion_timeout: Duration::from_secs(4),
            indirect_probes: 3,
            gossip_interval: Duration::from_millis(400),
            gossip_fanout: 1,
            join_interval: Duration::from_millis(250),
            rejoin_interval: Duration::from_secs(2),
            down_memory: Duration::from_secs(60),
            max_message_bytes: 120,
        }
    }
}
