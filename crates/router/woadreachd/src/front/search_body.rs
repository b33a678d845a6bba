//! The JSON body of a search: its parts, and the text that goes to replicas. It is checked as a whole before the
//! core receives the search, so that the core need not refuse any.

use crate::events::RequestedPart;
use crate::json::{ParseError, Reader, invalid};
use std::collections::BTreeMap;
use woadreach_routing::api::ShardId;

/// What rounding in floating point explains of a sum of weights.
const SUM_PRECISION: f64 = 1e-9;

/// What a search asks for.
pub(super) struct SearchBody {
    /// In the client's order; never empty.
    pub(super) parts: Vec<RequestedPart>,
    /// What each part carries to its replica.
    pub(super) text: String,
}

/// A weight as it was written.
struct Weight {
    value: f64,
    /// What rounding to the digits in which it is written explains.
    rounding: f64,
}

struct Part {
    /// Which of the body's parts it is, from 0.
    position: usize,
    weight: f64,
}

/// The parts read so far.
struct Parts {
    /// Number of shards that there are.
    shards: u64,
    parts: BTreeMap<ShardId, Part>,
    /// By how much the sum of the weights may differ from 1.
    rounding: f64,
}

/// Reads the body of a search over shards 0 to `shards` - 1.
pub(super) fn parse_search_body(content: &[u8], shards: u64) -> Result<SearchBody, ParseError> {
    let mut parts = Parts {
        shards,
        parts: BTreeMap::new(),
        rounding: SUM_PRECISION,
    };
    let mut text = None;
    Reader::read_all(content, |r| {
        r.object(|key, r| match key {
            "parts" if !parts.parts.is_empty() => Err(invalid("parts twice")),
            "parts" => r.array(|r| parts.read_part(r)),
            "expr" if text.is_some() => Err(invalid("expr twice")),
            "expr" => {
                text = Some(r.string()?.into_owned());
                Ok(())
            }
            _ => r.skip().map(|_| ()),
        })
    })?;
    Ok(SearchBody {
        parts: parts.in_order()?,
        text: text.ok_or(invalid("no expr"))?,
    })
}

impl Parts {
    fn read_part(&mut self, reader: &mut Reader<'_>) -> Result<(), ParseError> {
        let (mut shard, mut weight) = (None, None);
        reader.object(|key, r| {
            match key {
                "id" if shard.is_none() => shard = Some(r.unsigned()?),
                "w" if weight.is_none() => weight = Some(r.number_text()?),
                "id" | "w" => return Err(invalid("a key twice")),
                _ => r.skip().map(|_| ())?,
            }
            Ok(())
        })?;
        let shard = shard
            .filter(|s| *s < self.shards)
            .ok_or(invalid("unknown shard"))?;
        let weight = weight
            .and_then(parse_weight)
            .ok_or(invalid("a share out of range"))?;
        self.rounding += weight.rounding;
        let part = Part {
            position: self.parts.len(),
            weight: weight.value,
        };
        if self.parts.insert(ShardId(shard), part).is_some() {
            Err(invalid("a shard twice"))
        } else {
            Ok(())
        }
    }

    /// The parts in the client's order, if their weights add up to 1.
    fn in_order(self) -> Result<Vec<RequestedPart>, ParseError> {
        if self.parts.is_empty() {
            return Err(invalid("no parts"));
        }
        let sum: f64 = self.parts.values().map(|p| p.weight).sum();
        if (sum - 1.0).abs() > self.rounding {
            return Err(invalid("the shares do not add up to 1"));
        }
        let mut parts: Vec<(ShardId, Part)> = self.parts.into_iter().collect();
        parts.sort_by_key(|(_, part)| part.position);
        let requested = parts.into_iter().map(|(shard, part)| RequestedPart {
            shard,
            weight: part.weight,
        });
        Ok(requested.collect())
    }
}

/// A weight from 0 to 1. Its rounding is half a unit of the last digit, at most that of the third, since a
/// weight that is written short may be exact.
fn parse_weight(text: &str) -> Option<Weight> {
    let value: f64 = text.parse().ok().filter(|w| (0.0..=1.0).contains(w))?;
    let digits = text
        .split_once('.')
        .map_or(0, |(_, rest)| rest.len())
        .clamp(3, 15);
    let rounding = 0.5 * 0.1_f64.powi(digits as i32);
    Some(Weight { value, rounding })
}
