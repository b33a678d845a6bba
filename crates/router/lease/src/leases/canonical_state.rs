//! A canonical form of the state of leases, for comparison by model checkers.

use super::Leases;
use super::acceptor::Acceptor;
use super::candidacy::Candidacy;
use crate::fencing_token::FencingToken;
use crate::role::Role;

/// Markers that separate the sections of the canonical state, so that different states have different forms.
const ISSUED_GRANT: i64 = -1;
const KNOWN_HOLDER: i64 = -2;
const CANDIDACY: i64 = -3;
const PROPOSAL: i64 = -4;
const ANSWERED: i64 = -5;
const LATEST_GRANTED: i64 = -6;

/// Converts a time to milliseconds relative to now, limited to ±100 s.
fn relative_ms(time_s: f64, now_s: f64) -> i64 {
    ((time_s - now_s).clamp(-100.0, 100.0) * 1000.0).round() as i64
}

fn append_token(state: &mut Vec<i64>, marker: i64, role: Role, token: FencingToken) {
    state.extend([
        marker,
        i64::from(role.number()),
        i64::from(token.epoch),
        i64::from(token.holder.0),
        i64::from(token.incarnation.0),
    ]);
}

fn append_acceptor(state: &mut Vec<i64>, acceptor: &Acceptor, now_s: f64) {
    for (role, grant) in acceptor.grants() {
        append_token(state, ISSUED_GRANT, *role, grant.token);
        state.push(relative_ms(grant.until_s, now_s));
    }
    for (role, token) in acceptor.latest_granted() {
        append_token(state, LATEST_GRANTED, *role, *token);
    }
}

fn append_candidacy(state: &mut Vec<i64>, role: Role, candidacy: &Candidacy, now_s: f64) {
    let held_until_ms = candidacy
        .held_until_s
        .map_or(i64::MIN, |until_s| relative_ms(until_s, now_s));
    state.extend([
        CANDIDACY,
        i64::from(role.number()),
        i64::from(candidacy.epoch),
        held_until_ms,
        relative_ms(candidacy.next_proposal_s, now_s),
    ]);
    if let Some(proposal) = &candidacy.proposal {
        state.extend([
            PROPOSAL,
            i64::from(proposal.request_id),
            relative_ms(proposal.started_at_s, now_s),
            relative_ms(proposal.resend_at_s, now_s),
        ]);
        state.extend(proposal.granted.iter().map(|member| i64::from(member.0)));
        state.push(ANSWERED);
        state.extend(proposal.answered.iter().map(|member| i64::from(member.0)));
    }
}

impl Leases {
    /// Returns the state that determines the further behaviour of this member, with times relative to `now_s`. For
    /// model checkers.
    pub fn canonical_state(&self, now_s: f64) -> Vec<i64> {
        let mut state = vec![
            relative_ms(self.acceptor.recovering_until_s(), now_s).max(0),
            relative_ms(self.last_call_s, now_s),
            i64::from(self.last_request_id),
        ];
        append_acceptor(&mut state, &self.acceptor, now_s);
        for (role, token) in self.holders.tokens() {
            append_token(&mut state, KNOWN_HOLDER, role, token);
        }
        for (role, candidacy) in &self.candidacies {
            append_candidacy(&mut state, *role, candidacy, now_s);
        }
        state
    }
}
