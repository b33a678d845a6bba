//! Reading of what discovery writes: whole lists and the lines of a watch. Owns nothing; must never decide
//! what a list means.

use crate::events::{Entry, Lifecycle, List};
use crate::json::{Bad, Reader};
use tracing::warn;

/// A list or a line of a watch; an entry that cannot be used is left out, with a log line.
pub fn list(text: &[u8]) -> Result<List, Bad> {
    let mut list = List {
        generation: 0,
        full: false,
        entries: Vec::new(),
    };
    let mut seen = (false, false);
    Reader::whole(text, |r| {
        r.object(|key, r| {
            match key {
                "generation" => (list.generation, seen.0) = (r.whole_number()?, true),
                "reset" => list.full = r.boolean()?,
                "instances" => {
                    seen.1 = true;
                    r.array(|r| {
                        let text = r.skip()?;
                        match entry(text) {
                            Ok(entry) => list.entries.push(entry),
                            Err(Bad(why)) => {
                                warn!("entry skipped ({why}): {}", String::from_utf8_lossy(text))
                            }
                        }
                        Ok(())
                    })?;
                }
                _ => r.skip().map(|_| ())?,
            }
            Ok(())
        })
    })?;
    if seen == (true, true) {
        Ok(list)
    } else {
        Err(Bad("no generation or no instances"))
    }
}

fn entry(text: &[u8]) -> Result<Entry, Bad> {
    let (mut id, mut address, mut lifecycle, mut cell) = (None, None, None, None);
    let (mut zone, mut started_at) = (String::new(), 0.0);
    Reader::whole(text, |r| {
        r.object(|key, r| {
            match key {
                "instanceId" => id = Some(r.string()?.into_owned()),
                "hostPort" => address = Some(r.string()?.parse().map_err(|_| Bad("bad address"))?),
                "zone" => zone = r.string()?.into_owned(),
                "cell" => cell = Some(r.whole_number()?),
                "lifecycle" => {
                    lifecycle = Some(match &*r.string()? {
                        "ready" => Lifecycle::Ready,
                        "draining" => Lifecycle::Draining,
                        "gone" => Lifecycle::Gone,
                        _ => return Err(Bad("unknown lifecycle")),
                    });
                }
                "startedAtMs" => started_at = r.number()? / 1000.0,
                _ => r.skip().map(|_| ())?,
            }
            Ok(())
        })
    })?;
    let id = id
        .filter(|i: &String| !i.is_empty())
        .ok_or(Bad("no instanceId"))?;
    Ok(Entry {
        id,
        address: address.ok_or(Bad("no hostPort"))?,
        zone,
        cell: cell.ok_or(Bad("no cell"))?,
        lifecycle: lifecycle.ok_or(Bad("no lifecycle"))?,
        started_at,
    })
}
