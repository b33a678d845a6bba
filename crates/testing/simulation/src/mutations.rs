//! The search for injected bugs: each defence is switched off by itself, and seeds are played until a rule
//! breaks. Only in builds with the feature `mutations`.

use crate::script::Script;
use crate::shrink::{Shrunk, shrink};
use crate::world::{Options, play};
use serde::Serialize;
use std::ops::Range;
use woadreach_routing::mutations::{MUTATIONS, Mutation, mutate};

/// What the search for one injected bug has found.
#[derive(Clone, Debug, Serialize)]
pub struct Hunted {
    /// The mutation's name.
    pub mutation: &'static str,
    /// The defence that is switched off.
    pub defence: &'static str,
    /// The first seed that breaks a rule; none if none of them does.
    pub seed: Option<u64>,
    /// How many seeds were played.
    pub after: u64,
    /// The broken rule.
    pub rule: Option<String>,
    /// The shrunk script, if one was wanted.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub small: Option<Shrunk>,
}

/// Mutations that show only in runs of a whole tier.
const TIER_MUTATIONS: [&str; 2] = ["routing-cold-cap", "settings-siblings"];

/// The names of all mutations.
pub fn names() -> Vec<&'static str> {
    MUTATIONS.iter().map(|mutation| mutation.name).collect()
}

/// Plays seeds with one defence off until a rule breaks; shrinks the script if `smaller`. None if there is no
/// such mutation.
pub fn hunt(name: &str, seeds: Range<u64>, smaller: bool) -> Option<Hunted> {
    let Mutation { name, defence } = *MUTATIONS.iter().find(|mutation| mutation.name == name)?;
    let mut hunted = Hunted {
        mutation: name,
        defence,
        seed: None,
        after: seeds.end - seeds.start,
        rule: None,
        small: None,
    };
    mutate(Some(name));
    for seed in seeds.clone() {
        let script = if TIER_MUTATIONS.contains(&name) {
            Script::draw_tier(seed)
        } else {
            Script::draw(seed, &[], None)
        };
        let outcome = play(
            &script,
            Options {
                stop_at_breach: true,
                ..Options::default()
            },
        );
        if let Some(breach) = outcome.breaches.first() {
            hunted.seed = Some(seed);
            hunted.after = seed - seeds.start + 1;
            hunted.rule = Some(breach.rule.to_string());
            hunted.small = if smaller {
                shrink(&script, |_, _| {})
            } else {
                None
            };
            break;
        }
    }
    mutate(None);
    Some(hunted)
}
