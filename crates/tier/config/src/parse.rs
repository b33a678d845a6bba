//! Parsing and validation of a configuration from the body of an HTTP request.

use crate::error::{
    ConfigurationError, DuplicateRouteSnafu, DuplicateServiceSnafu, InvalidFieldSnafu,
    MalformedJsonSnafu, UnknownServiceSnafu, ZeroTimeoutSnafu, ZeroWeightSnafu,
};
use crate::model::{
    ClientLimits, Configuration, Engine, Route, RouteType, Service, WeightedCluster,
};
use crate::value::{Object, ROOT};
use snafu::{OptionExt, ResultExt, ensure};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Retention of turns on a route without `retention_s`.
const DEFAULT_RETENTION: Duration = Duration::from_secs(60);

impl Configuration {
    /// Parses and validates a configuration from a JSON document. Unknown fields are ignored.
    ///
    /// # Errors
    /// See [`ConfigurationError`].
    pub fn parse(body: &[u8]) -> Result<Self, ConfigurationError> {
        let mut bytes = body.to_vec();
        let document = simd_json::to_owned_value(&mut bytes).context(MalformedJsonSnafu)?;
        let root = Object::new(ROOT.to_owned(), &document);
        let configuration = Configuration {
            generation: root.unsigned("generation")?,
            services: root
                .objects("services")?
                .iter()
                .map(service)
                .collect::<Result<_, _>>()?,
            routes: root
                .objects("routes")?
                .iter()
                .map(route)
                .collect::<Result<_, _>>()?,
            limits: root
                .get("limits")
                .map_or(Ok(ClientLimits::default()), |value| {
                    limits(&Object::new("limits".to_owned(), value))
                })?,
        };
        validate(&configuration)?;
        Ok(configuration)
    }
}

fn service(object: &Object<'_>) -> Result<Service, ConfigurationError> {
    Ok(Service {
        name: object.string("name")?,
        health_check: object
            .optional_string("health_check")?
            .unwrap_or_else(|| "/healthz".to_owned()),
        max_conns: object
            .optional_unsigned("max_conns")?
            .map_or(u32::MAX, |n| n.try_into().unwrap_or(u32::MAX)),
        engine: object
            .get("engine")
            .map(|value| engine(&Object::new("engine".to_owned(), value)))
            .transpose()?,
    })
}

fn engine(object: &Object<'_>) -> Result<Engine, ConfigurationError> {
    let models = match object.get("models") {
        Some(_) => object.objects("models")?,
        None => Vec::new(),
    };
    Ok(Engine {
        capacity: object.unsigned_32("capacity")?,
        kv_tokens: object.optional_unsigned("kv_tokens")?.unwrap_or(0),
        stride: object
            .optional_unsigned("stride")?
            .map_or(1, |n| n.clamp(1, u64::from(u32::MAX)) as u32),
        models: models
            .iter()
            .map(|model| model.string("name"))
            .collect::<Result<_, _>>()?,
    })
}

fn route(object: &Object<'_>) -> Result<Route, ConfigurationError> {
    let timeout = object.milliseconds("timeout_ms")?;
    Ok(Route {
        name: object.string("name")?,
        domain: object.string("domain")?,
        path_prefix: object.string("path_prefix")?,
        route_type: route_type(object)?,
        timeout,
        target_latency: object
            .optional_milliseconds("target_latency_ms")?
            .unwrap_or(timeout),
        priority: object
            .optional_unsigned("priority")?
            .map_or(0, |n| n.min(u64::from(u8::MAX)) as u8),
        clusters: clusters(object)?,
        max_replicas: object
            .optional_unsigned("max_retries")?
            .map_or(1, |n| n.min(u64::from(u32::MAX)) as u32),
        stores_turns: object.boolean("kept")?,
        retention: object
            .optional_seconds("retention_s")?
            .unwrap_or(DEFAULT_RETENTION),
        session_affinity: object.boolean("session_affinity")?,
        resumable: object.boolean("resumable")?,
        event_gap_target: object.optional_milliseconds("gap_aim_ms")?,
    })
}

fn route_type(object: &Object<'_>) -> Result<RouteType, ConfigurationError> {
    let found = match object.string("route_type")?.as_str() {
        "safe" => Some(RouteType::Safe),
        "unsafe" => Some(RouteType::Unsafe),
        "streaming" => Some(RouteType::Streaming),
        _ => None,
    };
    let expected = "one of `safe`, `unsafe`, `streaming`";
    found.context(InvalidFieldSnafu {
        location: "a route",
        field: "route_type",
        expected,
    })
}

/// Parses the services of a route: either one `service`, or `weighted_clusters`, which takes precedence.
fn clusters(object: &Object<'_>) -> Result<Vec<WeightedCluster>, ConfigurationError> {
    if object.get("weighted_clusters").is_none() {
        return Ok(vec![WeightedCluster {
            service: object.string("service")?,
            weight: 1,
        }]);
    }
    let cluster = |item: &Object<'_>| {
        Ok(WeightedCluster {
            service: item.string("service")?,
            weight: item.unsigned_32("weight")?,
        })
    };
    object
        .objects("weighted_clusters")?
        .iter()
        .map(cluster)
        .collect()
}

fn limits(object: &Object<'_>) -> Result<ClientLimits, ConfigurationError> {
    let defaults = ClientLimits::default();
    let size =
        |found: Option<u64>, default: usize| found.map_or(default, |n| n.min(1 << 40) as usize);
    Ok(ClientLimits {
        max_header_bytes: size(
            object.optional_unsigned("max_header_bytes")?,
            defaults.max_header_bytes,
        ),
        max_body_bytes: size(
            object.optional_unsigned("max_body_bytes")?,
            defaults.max_body_bytes,
        ),
        header_timeout: object
            .optional_milliseconds("header_timeout_ms")?
            .unwrap_or(defaults.header_timeout),
        idle_timeout: object
            .optional_milliseconds("idle_timeout_ms")?
            .unwrap_or(defaults.idle_timeout),
    })
}

/// Checks the rules that involve several fields or objects.
fn validate(configuration: &Configuration) -> Result<(), ConfigurationError> {
    let mut services = BTreeSet::new();
    for service in &configuration.services {
        ensure!(
            services.insert(service.name.as_str()),
            DuplicateServiceSnafu {
                service: &service.name
            }
        );
    }
    let mut routes_by_location = BTreeMap::new();
    for route in &configuration.routes {
        validate_route(route, &services)?;
        // Host names are case-insensitive, as in `RouteTable::find`.
        let location = (
            route.domain.to_ascii_lowercase(),
            route.path_prefix.as_str(),
        );
        let earlier = routes_by_location.insert(location, &route.name);
        if let Some(first) = earlier {
            return DuplicateRouteSnafu {
                first,
                second: &route.name,
            }
            .fail();
        }
    }
    Ok(())
}

fn validate_route(route: &Route, services: &BTreeSet<&str>) -> Result<(), ConfigurationError> {
    ensure!(
        !route.timeout.is_zero(),
        ZeroTimeoutSnafu { route: &route.name }
    );
    for cluster in &route.clusters {
        let known = services.contains(cluster.service.as_str());
        ensure!(
            known,
            UnknownServiceSnafu {
                route: &route.name,
                service: &cluster.service
            }
        );
    }
    let total: u64 = route
        .clusters
        .iter()
        .map(|cluster| u64::from(cluster.weight))
        .sum();
    ensure!(total > 0, ZeroWeightSnafu { route: &route.name });
    Ok(())
}
