//! Parsing of what discovery writes: complete lists and the objects of a watch.

use crate::events::{Endpoint, EndpointList, Lifecycle};
use crate::json::{ParseError, Reader, invalid};
use tracing::warn;

/// A list or an object of a watch. An entry that cannot be used is left out, with a log line.
///
/// # Errors
///
/// [`ParseError`] where the text is not JSON, or lacks the generation or the entries.
pub fn parse_list(text: &[u8]) -> Result<EndpointList, ParseError> {
    let (mut generation, mut full, mut entries) = (None, false, None);
    Reader::read_all(text, |r| {
        r.object(|key, r| {
            match key {
                "generation" => generation = Some(r.unsigned()?),
                "reset" => full = r.boolean()?,
                "instances" => {
                    let entries = entries.get_or_insert_with(Vec::new);
                    r.array(|r| {
                        entries.extend(parse_entry(r.skip()?));
                        Ok(())
                    })?;
                }
                _ => r.skip().map(|_| ())?,
            }
            Ok(())
        })
    })?;
    match (generation, entries) {
        (Some(generation), Some(entries)) => Ok(EndpointList {
            generation,
            full,
            entries,
        }),
        _ => Err(invalid("no generation or no instances")),
    }
}

fn parse_entry(text: &[u8]) -> Option<Endpoint> {
    match parse_endpoint(text) {
        Ok(endpoint) => Some(endpoint),
        Err(error) => {
            let entry = String::from_utf8_lossy(text);
            warn!(%error, %entry, "endpoint entry skipped");
            None
        }
    }
}

fn parse_endpoint(text: &[u8]) -> Result<Endpoint, ParseError> {
    let (mut id, mut address, mut lifecycle, mut cell) = (None, None, None, None);
    let (mut zone, mut started_at) = (String::new(), 0.0);
    Reader::read_all(text, |r| {
        r.object(|key, r| {
            match key {
                "instanceId" => id = Some(r.string()?.into_owned()),
                "hostPort" => {
                    let text = r.string()?;
                    address = Some(text.parse().map_err(|_| invalid("bad address"))?);
                }
                "zone" => zone = r.string()?.into_owned(),
                "cell" => cell = Some(r.unsigned()?),
                "lifecycle" => lifecycle = Some(parse_lifecycle(&r.string()?)?),
                "startedAtMs" => started_at = r.number()? / 1000.0,
                _ => r.skip().map(|_| ())?,
            }
            Ok(())
        })
    })?;
    let id = id
        .filter(|i: &String| !i.is_empty())
        .ok_or(invalid("no instanceId"))?;
    Ok(Endpoint {
        id,
        address: address.ok_or(invalid("no hostPort"))?,
        zone,
        cell: cell.ok_or(invalid("no cell"))?,
        lifecycle: lifecycle.ok_or(invalid("no lifecycle"))?,
        started_at,
    })
}

fn parse_lifecycle(text: &str) -> Result<Lifecycle, ParseError> {
    match text {
        "ready" => Ok(Lifecycle::Ready),
        "draining" => Ok(Lifecycle::Draining),
        "gone" => Ok(Lifecycle::Departed),
        _ => Err(invalid("unknown lifecycle")),
    }
}
