//! Errors of a configuration, one variant for each way in which it can be invalid.

use snafu::Snafu;

/// Why a configuration was rejected.
#[derive(Debug, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ConfigurationError {
    /// The body is not a complete JSON document.
    #[snafu(display("the body is no whole JSON document: {source}"))]
    MalformedJson {
        /// Error of the parser, with the position.
        source: simd_json::Error,
    },
    /// A field is missing or of another type.
    #[snafu(display("{location}: field `{field}` is not {expected}"))]
    InvalidField {
        /// Path of the object that should have the field, such as `routes[3]`.
        location: String,
        /// Name of the field.
        field: &'static str,
        /// Description of the values that are accepted.
        expected: &'static str,
    },
    /// A route names a service that the configuration does not define.
    #[snafu(display("route `{route}` names the unknown service `{service}`"))]
    UnknownService {
        /// Name of the route.
        route: String,
        /// Name of the undefined service.
        service: String,
    },
    /// Two services have the same name.
    #[snafu(display("two services have the name `{service}`"))]
    DuplicateService {
        /// Name of both services.
        service: String,
    },
    /// Two routes have the same host and path prefix.
    #[snafu(display("routes `{first}` and `{second}` have the same host and path prefix"))]
    DuplicateRoute {
        /// Name of the earlier route.
        first: String,
        /// Name of the later route.
        second: String,
    },
    /// The weights of a route sum to 0.
    #[snafu(display("the weights of route `{route}` sum to 0"))]
    ZeroWeight {
        /// Name of the route.
        route: String,
    },
    /// The time-out of a route is 0.
    #[snafu(display("the `timeout_ms` of route `{route}` is 0"))]
    ZeroTimeout {
        /// Name of the route.
        route: String,
    },
    /// The generation is not above the active one.
    #[snafu(display("generation {generation} is not above the current one, {current}"))]
    StaleGeneration {
        /// Generation of the submitted configuration.
        generation: u64,
        /// Generation of the active configuration.
        current: u64,
    },
}
