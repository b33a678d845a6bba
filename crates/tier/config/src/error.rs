//! Errors of a configuration, one variant for each kind of invalid configuration.

use snafu::Snafu;

/// Reason for rejecting a configuration.
#[derive(Debug, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ConfigurationError {
    /// The body is not a complete JSON document.
    #[snafu(display("the body is not a complete JSON document: {source}"))]
    MalformedJson {
        /// Error of the JSON parser, with the position in the body.
        source: simd_json::Error,
    },
    /// A field is missing, has the wrong type or is out of range.
    #[snafu(display("{location}: field `{field}` is not {expected}"))]
    InvalidField {
        /// Path of the object that contains the field, such as `routes[3]`.
        location: String,
        /// Name of the field.
        field: &'static str,
        /// Description of the accepted values.
        expected: &'static str,
    },
    /// A route refers to a service that the configuration does not define.
    #[snafu(display("route `{route}` refers to the undefined service `{service}`"))]
    UnknownService {
        /// Name of the route.
        route: String,
        /// Name of the undefined service.
        service: String,
    },
    /// Two services have the same name.
    #[snafu(display("two services have the name `{service}`"))]
    DuplicateService {
        /// Name that both services have.
        service: String,
    },
    /// Two routes have the same host and path prefix.
    #[snafu(display("routes `{first}` and `{second}` have the same host and path prefix"))]
    DuplicateRoute {
        /// Name of the route that comes first in the document.
        first: String,
        /// Name of the route that comes second in the document.
        second: String,
    },
    /// The weights of a route sum to 0.
    #[snafu(display("the weights of route `{route}` sum to 0"))]
    ZeroWeight {
        /// Name of the route.
        route: String,
    },
    /// The `timeout_ms` of a route is 0.
    #[snafu(display("the `timeout_ms` of route `{route}` is 0"))]
    ZeroTimeout {
        /// Name of the route.
        route: String,
    },
    /// The generation is not above that of the active configuration.
    #[snafu(display("generation {generation} is not above the current one, {current}"))]
    StaleGeneration {
        /// Generation of the submitted configuration.
        generation: u64,
        /// Generation of the active configuration.
        current: u64,
    },
}
