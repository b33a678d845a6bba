//! The `core` role: starts the services of a core machine and stops them on SIGTERM.

mod departure;
mod metrics;
mod recovery;
mod signals;

use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use snafu::{OptionExt, ResultExt};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use woadreach_chain::{FailureDomain, MemberOptions, Tolerance};
use woadreach_discovery::{CoreDiscovery, DepartureJournal, NodeRole, Sampler};
use woadreach_rpc::{Client, ClientOptions, Router, ServiceId};
use woadreach_settings::NodeSettings;

use crate::committed::MemberCommittedState;
use crate::error::{ListenSnafu, MissingFieldSnafu, RoleError, SignalSnafu, UnusableFieldSnafu};
use crate::member_driver::MemberDriver;
use crate::order::service::OrderService;
use crate::random::random_number;
use crate::storage_planner::StoragePlanner;
use crate::{http_server, instances, operator};

use departure::leave;
use recovery::{recover_departures, recover_or_initialize};
use signals::run_until_sigterm;

/// Time limit for answering requests in flight when the process stops.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(1500);
/// Number of file descriptors reserved for uses other than HTTP connections.
const RESERVED_DESCRIPTORS: u64 = 2200;
/// Lower bound on the limit of HTTP connections, used when few descriptors are available.
const MIN_CONNECTIONS: u64 = 256;
/// Upper bound on the limit of HTTP connections. Each connection may use memory for a request head of 32 KiB and
/// a heartbeat of 64 KiB.
const MAX_CONNECTIONS: u64 = 1200;

/// Runs the role until SIGTERM.
///
/// # Errors
/// See [`RoleError`].
pub async fn run(settings: NodeSettings) -> Result<(), RoleError> {
    let mut terminate = signal(SignalKind::terminate()).context(SignalSnafu)?;
    let mut hangup = signal(SignalKind::hangup()).context(SignalSnafu)?;
    let control_address = settings.listen.control.context(MissingFieldSnafu {
        field: "listen.control",
        role: "core",
        expected: "the address for the operator and the replicas",
    })?;
    let internal_listener = listen(settings.internal_address()).await?;
    let control_listener = listen(control_address).await?;

    let options = member_options(&settings)?;
    let (journal, recovered) = recover_or_initialize(&settings, &options).await?;
    let departures = recover_departures(&settings)?;
    let rpc = Client::new(ClientOptions::default());
    let driver = MemberDriver::start(options, recovered, journal, rpc.clone());
    let services = start_services(&settings, &driver, departures, rpc, internal_listener);
    let page = metrics::page_source(Arc::clone(&driver), Arc::clone(&services.discovery));
    woadreach_metrics::bind_and_serve(settings.metrics_address(), page).await;
    let (stop, stopped) = watch::channel(false);
    let server = http_server::serve(
        control_listener,
        operator::router(services.orders).merge(instances::router(services.discovery)),
        max_connections(&settings),
        stopped,
        DRAIN_TIMEOUT,
    );
    let server = tokio::spawn(server);
    tracing::info!(node = settings.node, address = %settings.internal_address(), "core machine started");

    run_until_sigterm(&driver, &services.sampler, &mut terminate, &mut hangup).await;
    leave(&driver, settings.bounds.grace_period).await;
    stop.send_replace(true);
    // If the server task has panicked, no requests are in flight.
    let _ = server.await;
    tracing::info!(node = settings.node, "core machine stopped");
    Ok(())
}

/// Services that run alongside the member.
struct Services {
    orders: Arc<OrderService>,
    discovery: Arc<CoreDiscovery>,
    sampler: Arc<Sampler>,
}

/// Creates the services, serves other machines on `listener`, and starts the background tasks.
fn start_services(
    settings: &NodeSettings,
    driver: &Arc<MemberDriver>,
    departures: DepartureJournal,
    rpc: Client,
    listener: TcpListener,
) -> Services {
    let tolerated_losses = settings.fault_tolerance.tolerated_losses();
    // Separate connections: an order may be as large as a configuration, and heartbeats between members must not
    // queue behind it.
    let order_rpc = Client::new(ClientOptions::default());
    let orders = Arc::new(OrderService::new(
        Arc::clone(driver),
        order_rpc,
        settings.internal_address(),
        tolerated_losses,
    ));
    let committed = Arc::new(MemberCommittedState::new(Arc::clone(driver)));
    let incarnation = random_number() | 1;
    let discovery = CoreDiscovery::new(settings, incarnation, rpc.clone(), committed, departures);
    let seeds = settings.seed_internal_addresses();
    let planner = StoragePlanner::new(Arc::clone(driver), rpc, seeds, tolerated_losses);
    let sampler = Sampler::new(settings, NodeRole::Core, random_number());

    let handlers = discovery.handlers(planner.handlers(internal_handlers(driver, &orders)));
    tokio::spawn(woadreach_rpc::serve(listener, sampler.handlers(handlers)));
    tokio::spawn(Arc::clone(&sampler).run());
    tokio::spawn(Arc::clone(&discovery).run());
    tokio::spawn(planner.run());
    Services {
        orders,
        discovery,
        sampler,
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, RoleError> {
    TcpListener::bind(address)
        .await
        .context(ListenSnafu { address })
}

fn max_connections(settings: &NodeSettings) -> usize {
    let free = settings.limits.max_fds.saturating_sub(RESERVED_DESCRIPTORS);
    free.clamp(MIN_CONNECTIONS, MAX_CONNECTIONS) as usize
}

/// Registers the handlers of messages between members and of forwarded orders.
fn internal_handlers(driver: &Arc<MemberDriver>, orders: &Arc<OrderService>) -> Router {
    let chain = Arc::clone(driver);
    let orders = Arc::clone(orders);
    Router::new()
        .route_checked(ServiceId::CHAIN, move |_peer, body| {
            let received = chain.receive(&body);
            async { received.map(|()| Vec::new()) }
        })
        .route_checked(ServiceId::FORWARD, move |_peer, body| {
            let orders = Arc::clone(&orders);
            async move { orders.execute_forwarded(body).await }
        })
}

fn member_options(settings: &NodeSettings) -> Result<MemberOptions, RoleError> {
    let seeds = settings.seed_internal_addresses();
    let seeds: Result<Vec<SocketAddrV4>, RoleError> = seeds
        .into_iter()
        .map(|seed| require_ipv4("seeds", seed))
        .collect();
    Ok(MemberOptions {
        address: require_ipv4("ip", settings.internal_address())?,
        seeds: seeds?,
        tolerance: Tolerance {
            machines: settings.fault_tolerance.machines,
            zones: settings.fault_tolerance.zones,
            regions: settings.fault_tolerance.regions,
        },
        failure_domain: FailureDomain::named(&settings.zone, &settings.region),
        random_seed: random_number(),
    })
}

fn require_ipv4(field: &'static str, address: SocketAddr) -> Result<SocketAddrV4, RoleError> {
    match address {
        SocketAddr::V4(address) => Ok(address),
        SocketAddr::V6(_) => UnusableFieldSnafu {
            field,
            found: address.to_string(),
            expected: "an IPv4 address",
        }
        .fail(),
    }
}
