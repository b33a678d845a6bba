//! Timing of leases.

/// Timing of leases, and the number of acceptors. Times are in seconds of the member's own clock.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseConfig {
    /// How long an acceptor's grant to a lease holder is valid, in seconds. It bounds the time without a holder after
    /// one fails. Measured hand-over times: `docs/leases.md#lease-duration`.
    pub lease_duration_s: f64,
    /// How long an acceptor's grant to a candidate without a majority is valid, in seconds. It bounds how long a failed
    /// candidate whose release is lost blocks an acceptor. Must exceed `proposal_timeout_s` by `clock_margin_s` and a
    /// round trip.
    pub initial_grant_duration_s: f64,
    /// How much sooner than its grants a lease ends, in seconds. Must exceed the difference of two members' clocks
    /// after `lease_duration_s`: clocks that are 1 % fast and 1 % slow differ by 0.06 s after 3 s.
    pub clock_margin_s: f64,
    /// Time between two renewals by a holder, in seconds. A third of `lease_duration_s`, so that one lost round does
    /// not cost the lease.
    pub renew_interval_s: f64,
    /// After how long acceptors that have not answered receive the request again, in seconds. Measurements:
    /// `docs/leases.md#retry-interval`.
    pub retry_interval_s: f64,
    /// A candidate that has no majority after so long gives up its proposal, in seconds.
    pub proposal_timeout_s: f64,
    /// Scale of a candidate's random backoff after a failed proposal, in seconds. It is multiplied by the candidate's
    /// rank, and doubles with each failure up to four times the scale.
    pub backoff_s: f64,
    /// Limit on the acceptors of a role. Larger tiers choose them by a hash of role and member. Chubby's cells have
    /// five as well (section 2.1): two may be down, and the cost of a lease doesn't grow with the tier.
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
    /// Until when an acceptor stays silent that may have forgotten grants at `now_s`.
    pub(super) fn silent_until_s(&self, now_s: f64) -> f64 {
        now_s + self.lease_duration_s + self.clock_margin_s
    }

    /// How long a grant to a holder or to a candidate is valid, in seconds.
    pub(super) fn grant_duration_s(&self, is_holder: bool) -> f64 {
        if is_holder {
            self.lease_duration_s
        } else {
            self.initial_grant_duration_s
        }
    }
}
