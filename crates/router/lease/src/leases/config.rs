//! Timing of leases.

/// Timing of leases, and the limit on acceptors. Times are in seconds of the member's own clock.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseConfig {
    /// Validity of an acceptor's grant to a lease holder, in seconds. It bounds the time without a holder after a
    /// holder fails. Measured failover times: `docs/leases.md#lease-duration`.
    pub lease_duration_s: f64,
    /// Validity of an acceptor's grant to a candidate, in seconds. It bounds how long a failed candidate whose release
    /// message is lost blocks an acceptor. Must exceed `proposal_timeout_s` by `clock_margin_s` and a round trip.
    pub initial_grant_duration_s: f64,
    /// Time by which a lease ends before its grants expire, in seconds. Must exceed the drift between the clocks of two
    /// members over `lease_duration_s`: clocks that are 1 % fast and 1 % slow differ by 0.06 s after 3 s.
    pub clock_margin_s: f64,
    /// Interval between two renewals by a holder, in seconds. A third of `lease_duration_s`, so that the lease survives
    /// one failed renewal.
    pub renew_interval_s: f64,
    /// Interval at which a request is sent again to acceptors that have not answered, in seconds. Measurements:
    /// `docs/leases.md#retry-interval`.
    pub retry_interval_s: f64,
    /// Time after which a candidate without a majority abandons its proposal, in seconds.
    pub proposal_timeout_s: f64,
    /// Base of a candidate's random backoff, in seconds. The backoff increases with the rank of the candidate, and
    /// doubles with each failed proposal up to four times.
    pub backoff_s: f64,
    /// Limit on the number of acceptors of a role. Larger tiers select them by a hash of role and member. As in a
    /// Chubby cell (section 2.1), two of five may be down, and the cost of a lease doesn't grow with the tier.
    pub max_acceptors: usize,
}

impl Default for LeaseConfig {
    fn default() -> Self {
        LeaseConfig {
            lease_duration_s: 3.0,
            initial_grant_duration_s: 1.0,
            clock_margin_s: 0.15,
            renew_interval_s: 1.0,
            retry_interval_s: 0.1,
            proposal_timeout_s: 0.5,
            backoff_s: 0.2,
            max_acceptors: 5,
        }
    }
}

impl LeaseConfig {
    /// Returns the time until which an acceptor that may have lost grants at `now_s` answers no requests.
    pub(super) fn recovery_end_s(&self, now_s: f64) -> f64 {
        now_s + self.lease_duration_s + self.clock_margin_s
    }

    /// Returns the validity of a grant to a holder or to a candidate, in seconds.
    pub(super) fn grant_duration_s(&self, is_holder: bool) -> f64 {
        if is_holder {
            self.lease_duration_s
        } else {
            self.initial_grant_duration_s
        }
    }
}
