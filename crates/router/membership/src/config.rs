//! Timing of the membership protocol.

use std::time::Duration;

/// Timing and limits of the membership protocol. Reasons and measurements: `docs/failover.md#membership-timing`.
#[derive(Clone, Debug)]
pub struct MembershipConfig {
    /// Interval between two probes by a member (SWIM's protocol period).
    pub probe_interval: Duration,
    /// Time that a probe waits for a direct answer before it sends indirect probes. Must exceed the maximum round-trip
    /// time.
    pub probe_timeout: Duration,
    /// Time from the suspicion of a member until it is declared down (SWIM, section 4.2).
    pub suspicion_timeout: Duration,
    /// Number of other members that are asked to probe a member which has not answered (SWIM's ping-req, section 3.1).
    pub indirect_probes: usize,
    /// Interval between two gossip messages while there are updates to spread. They are sent in addition to the updates
    /// that are piggybacked on probes (SWIM, section 4.1).
    pub gossip_interval: Duration,
    /// Number of members to which each gossip message is sent.
    pub gossip_fanout: usize,
    /// Mean interval between two announcements to missing members while at most half of the roster is alive.
    pub join_interval: Duration,
    /// Mean interval between two announcements to missing members while more than half of the roster is alive.
    pub rejoin_interval: Duration,
    /// Time that a member which is down is remembered, so that outdated updates can't mark it as alive.
    pub down_memory: Duration,
    /// Limit on the length of a membership message, in bytes. The rest of a datagram is available for other payloads.
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
