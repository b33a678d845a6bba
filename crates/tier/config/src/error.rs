//! Why a configuration was refused.

use snafu::Snafu;

/// A configuration that can't be taken.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ConfigurationError {
    /// The body is no whole JSON document.
    #[snafu(display("the body is no whole JSON document: {reason}"))]
    Unreadable {
        /// What the parser said.
        reason: String,
    },
    /// A field is missing or of another type.
    #[snafu(display("{place}: field `{field}` is not {expected}"))]
    BadField {
        /// The object that should hold it, such as `routes[3]`.
        place: String,
        /// The field's name.
        field: &'static str,
        /// What would be accepted.
        expected: &'static str,
    },
    /// A route names a service that the configuration does not have.
    #[snafu(display("route `{route}` names the unknown service `{service}`"))]
    UnknownService {
        /// The route's name.
        route: String,
        /// The service it names.
        service: String,
    },
    /// Two services have the same name.
    #[snafu(display("two services have the name `{service}`"))]
    SameService {
        /// That name.
        service: String,
    },
    /// Two routes have the same host and prefix.
    #[snafu(display("routes `{first}` and `{second}` have the same host and path prefix"))]
    SamePlace {
        /// The route that comes first.
        first: String,
        /// The other one.
        second: String,
    },
    /// The weights of a route sum to nothing.
    #[snafu(display("the weights of route `{route}` sum to 0"))]
    NoWeight {
        /// The route's name.
        route: String,
    },
    /// A route's time-out is nothing.
    #[snafu(display("the `timeout_ms` of route `{route}` is 0"))]
    NoTimeout {
        /// The route's name.
        route: String,
    },
    /// The generation does not follow the one in force.
    #[snafu(display("generation {generation} is not above the current one, {current}"))]
    OldGeneration {
        /// The generation sent.
        generation: u64,
        /// The one in force.
        current: u64,
    },
}
