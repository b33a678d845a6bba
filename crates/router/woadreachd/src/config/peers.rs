//! What the file says of other co-ordinators, and what operators say of failover between zones:
//! `failover.regions` names the region of each zone, `failover.out` the zones that get no traffic from here,
//! `failover.near` keeps traffic near while that is safe, and `failover.on` switches all of it off; `duties.on`
//! the roles that one co-ordinator holds for others.

use super::error::{ConfigError, InvalidPeerAddressSnafu, RegionNotTextSnafu, UnknownZoneSnafu};
use super::fields::{Fields, texts};
use crate::peers::PeerConfig;
use serde_json::Value;
use snafu::OptionExt;
use std::net::SocketAddr;
use woadreach_lease::SlowStartSplit;

/// `None` where peers are not allowed, not configured, or this process does not know its own index or zone.
pub(super) fn read_peers(fields: Fields<'_>, seed: u64) -> Result<Option<PeerConfig>, ConfigError> {
    let zones = texts(fields.settings, "/localities");
    let regions = read_regions(fields, &zones)?;
    let ejected_by_operator = texts(fields.file, "/failover/out")
        .iter()
        .map(|zone| zone_index(&zones, "failover.out", zone))
        .collect::<Result<Vec<_>, _>>()?;
    let Some(listen) = listen_address(fields) else {
        return Ok(None);
    };
    let roster = texts(fields.file, "/peers")
        .iter()
        .map(|address| parse_address("peers", address))
        .collect::<Result<Vec<_>, _>>()?;
    let Some(OwnPosition { index, zone }) = own_position(fields, roster.len(), zones.len()) else {
        return Ok(None);
    };
    Ok(Some(PeerConfig {
        listen: parse_address("peer_listen", listen)?,
        roster,
        index,
        zone,
        zones,
        regions,
        ejected_by_operator,
        prefer_near: fields.file_flag("/failover/near"),
        warm_up_s: fields.seconds("/guarantees/coldMs").unwrap_or(0.0),
        roles: fields.file_flag_unless_off("/duties/on"),
        quota_allocator: fields.file_flag("/duties/warden"),
        log_role_actions: fields.file_flag("/duties/records"),
        slow_start: slow_start_split(fields),
        seed,
    }))
}

/// Each zone's region by number. Zones that are not named make up a region of their own, number 0.
fn read_regions(fields: Fields<'_>, zones: &[String]) -> Result<Vec<u8>, ConfigError> {
    let mut regions = vec![0; zones.len()];
    let mut names: Vec<&str> = Vec::new();
    let named = fields.file.pointer("/failover/regions");
    for (zone, region) in named.and_then(Value::as_object).into_iter().flatten() {
        let region = region.as_str().context(RegionNotTextSnafu)?;
        let number = names.iter().position(|n| *n == region).unwrap_or_else(|| {
            names.push(region);
            names.len() - 1
        });
        regions[zone_index(zones, "failover.regions", zone)?] = number as u8 + 1;
    }
    Ok(regions)
}

fn zone_index(zones: &[String], key: &'static str, zone: &str) -> Result<usize, ConfigError> {
    let index = zones.iter().position(|z| z == zone);
    index.context(UnknownZoneSnafu { key, zone, zones })
}

fn listen_address<'a>(fields: Fields<'a>) -> Option<&'a str> {
    let allowed = fields.flag("/limits/peers") && fields.file_flag_unless_off("/failover/on");
    let listen = fields.file.get("peer_listen").and_then(Value::as_str);
    listen.filter(|_| allowed)
}

fn parse_address(key: &'static str, address: &str) -> Result<SocketAddr, ConfigError> {
    let parsed = address.parse().ok();
    parsed.context(InvalidPeerAddressSnafu { key, address })
}

/// Which of the co-ordinators this process is.
struct OwnPosition {
    /// Index in the roster.
    index: usize,
    /// Its zone, as an index into the settings' zones.
    zone: usize,
}

/// The own position among `roster` co-ordinators in `zones` zones. A process that does not know it, or whose
/// zone is not named, does not contact peers.
fn own_position(fields: Fields<'_>, roster: usize, zones: usize) -> Option<OwnPosition> {
    let number = |key: &str| Some(fields.settings.get(key)?.as_u64()? as usize);
    let (index, zone) = (number("me")?, number("zone")?);
    let known = index < roster && zone < zones;
    (known && zones <= u8::MAX.into() && roster >= 2).then_some(OwnPosition { index, zone })
}

fn slow_start_split(fields: Fields<'_>) -> Option<SlowStartSplit> {
    fields.number("/guarantees/tipMultiple")?;
    let coordinators = fields.number("/siblings").unwrap_or(1.0).max(1.0);
    Some(SlowStartSplit {
        member_count: coordinators as usize,
        window_s: fields.seconds("/guarantees/tipAfterMs")?,
    })
}
