//! Watching before a move to another shape of deployment: the co-ordinator decides as its settings say, and
//! counts, by kind, the steps that the settings of the new shape would not have allowed. Plain values only:
//! no I/O, no clock; the host shows the counts.

use serde_json::Value;
use woadreach::api::*;
use woadreach::balance::proven_unrun;

/// What the new shape would allow. Read from the settings' `watch` object, each key optional: an absent one
/// allows what the settings in force allow, so nothing is counted for it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Shape {
    /// `watch.retryAfter`: whether a shed reply may say when to come back.
    pub retry_after: Option<bool>,
    /// `watch.mayDuplicate`: whether a part may have two sub-requests out at once.
    pub second_copies: Option<bool>,
    /// `watch.once`: names of query types whose parts may not run twice.
    pub once: Vec<String>,
}

/// Where the new shape would have decided otherwise, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    /// Shed with a time to come back.
    pub retry_after: u64,
    /// A sub-request sent while another of its part was out.
    pub second_copy: u64,
    /// A further sub-request of a part that might have run, in a query type to be `once`.
    pub repeat_once: u64,
}

/// The `watch` object of the settings, checked; None where there is none. A wrong type names the key.
pub fn shape(facts: &Value) -> Result<Option<Shape>, String> {
    let Some(watch) = facts.get("watch") else { return Ok(None) };
    let watch = watch.as_object().ok_or("setting /watch is not an object")?;
    let flag = |key: &str| match watch.get(key) {
        None => Ok(None),
        Some(v) => v.as_bool().map(Some).ok_or(format!("setting /watch/{key} is not true or false")),
    };
    let mut once = Vec::new();
    for (i, name) in watch.get("once").and_then(Value::as_array).into_iter().flatten().enumerate() {
        once.push(name.as_str().ok_or(format!("setting /watch/once/{i} is not a name"))?.to_string());
    }
    if watch.get("once").is_some_and(|v| !v.is_array()) {
        return Err("setting /watch/once is not a list".into());
    }
    if let Some(key) = watch.keys().find(|k| !["retryAfter", "mayDuplicate", "once"].contains(&k.as_str())) {
        return Err(format!("setting /watch/{key} is unknown"));
    }
    Ok(Some(Shape { retry_after: flag("retryAfter")?, second_copies: flag("mayDuplicate")?, once }))
}

impl Shape {
    /// Counts a send, `nth` the sub-request's number in its part; `once` whether its query type is named.
    pub fn sent(&self, part: &Part, nth: usize, once: bool, counts: &mut Counts) {
        let before = &part.subs[..nth.min(part.subs.len())];
        if self.second_copies == Some(false) && before.iter().any(|s| s.ending.is_none()) {
            counts.second_copy += 1;
        }
        if once && before.iter().any(|s| !proven_unrun(s)) {
            counts.repeat_once += 1;
        }
    }

    pub fn replied(&self, reply: Reply, counts: &mut Counts) {
        if matches!(reply, Reply::Shed { retry_after } if retry_after > 0.0)
            && self.retry_after == Some(false)
        {
            counts.retry_after += 1;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    fn part(endings: &[Option<Ending>]) -> Part {
        let sub =
            |e: &Option<Ending>| SubRequest { replica: ReplicaId("r".into()), sent_at: 0.0, ending: *e };
        Part {
            id: PartId(1),
            shard: ShardId(0),
            weight: 1.0,
            step: 1,
            answered: false,
            held: None,
            subs: endings.iter().map(sub).collect(),
        }
    }

    #[test]
    fn bad_settings_name_their_key() {
        assert_eq!(shape(&json!({})), Ok(None));
        assert!(shape(&json!({"watch": 3})).unwrap_err().contains("/watch"));
        assert!(shape(&json!({"watch": {"retryAfter": "no"}})).unwrap_err().contains("/watch/retryAfter"));
        assert!(shape(&json!({"watch": {"once": [1]}})).unwrap_err().contains("/watch/once/0"));
        assert!(shape(&json!({"watch": {"once": "x"}})).unwrap_err().contains("/watch/once"));
        assert!(shape(&json!({"watch": {"probes": false}})).unwrap_err().contains("/watch/probes"));
        let s = shape(&json!({"watch": {"mayDuplicate": false, "once": ["fit-hold"]}})).unwrap().unwrap();
        assert_eq!(s.second_copies, Some(false));
        assert_eq!(s.once, vec!["fit-hold".to_string()]);
    }

    #[test]
    fn counts_what_the_new_shape_would_not_allow() {
        let strict = Shape { retry_after: Some(false), second_copies: Some(false), once: vec![] };
        let mut c = Counts::default();
        // A copy while the first is out; a repeat after a lost answer; a repeat after no connection.
        strict.sent(&part(&[None, None]), 1, true, &mut c);
        strict.sent(&part(&[Some(Ending::TimedOut), None]), 1, true, &mut c);
        strict.sent(&part(&[Some(Ending::Unreachable), None]), 1, true, &mut c);
        strict.sent(&part(&[None]), 0, true, &mut c);
        strict.replied(Reply::Shed { retry_after: 0.5 }, &mut c);
        strict.replied(Reply::Shed { retry_after: 0.0 }, &mut c);
        assert_eq!(c, Counts { retry_after: 1, second_copy: 1, repeat_once: 2 });
        let mut none = Counts::default();
        Shape::default().sent(&part(&[None, None]), 1, false, &mut none);
        Shape::default().replied(Reply::Shed { retry_after: 0.5 }, &mut none);
        assert_eq!(none, Counts::default());
    }
}
