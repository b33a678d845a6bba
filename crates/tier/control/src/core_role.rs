//! The `core` role: start, signals, stop.

use std::hash::{BuildHasher, Hasher};
use std::net::{SocketAddr, SocketAddrV4};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use snafu::{OptionExt, ResultExt};
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::time::Instant;
use woadreach_chain::{Departure, Input, MemberOptions, Place, Tolerance};
use woadreach_discovery::{CoreDiscovery, NodeRole, Sampler};
use woadreach_journal::{Journal, JournalError, JournalOptions, Recovered};
use woadreach_rpc::{Client, ClientOptions, Router, ServiceId};
use woadreach_settings::NodeSettings;

use crate::committed::PublishedState;
use crate::durable_log::{RecoveredMember, encode_snapshot, recover};
use crate::error::{
    JournalSnafu, ListenSnafu, MissingFieldSnafu, RoleError, SignalSnafu, UnreadableSnafu,
    UnusableFieldSnafu,
};
use crate::member_driver::{MemberDriver, new_durable};
use crate::order::OrderService;
use crate::storage_planner::StoragePlanner;
use crate::{http_server, instances, operator};

/// Share of the disk that the journal may take, in hundredths.
const DISK_SHARE: u64 = 80;
/// Bytes that may wait for the disk.
const QUEUED_BYTES: usize = 64 << 20;
/// What is left of the grace period for answering what is in hand, and for ending.
const LEAVE_MARGIN: Duration = Duration::from_millis(2500);
/// Most time for leaving when nobody stays that could take over.
const ALONE_TIMEOUT: Duration = Duration::from_millis(1500);
/// How often this is looked at while leaving.
const LEAVE_POLL: Duration = Duration::from_millis(50);
/// Most time for answering what is in hand when the process is stopped.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(1500);
/// How often the settings are read again while no quorum is in reach.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(3);
/// Descriptors kept back from the operator's and the replicas' connections.
const RESERVED_DESCRIPTORS: u64 = 2200;
/// Fewest connections that are taken.
const FEWEST_CONNECTIONS: u64 = 256;
/// Most connections that are taken: each may hold a head of 32 KiB and a heartbeat of 64 KiB in memory.
const MOST_CONNECTIONS: u64 = 1200;

/// Runs the role until SIGTERM.
pub async fn run(settings: NodeSettings) -> Result<(), RoleError> {
    let mut terminate = signal(SignalKind::terminate()).context(SignalSnafu)?;
    let mut hangup = signal(SignalKind::hangup()).context(SignalSnafu)?;
    let control = settings.listen.control.context(MissingFieldSnafu {
        field: "listen.control",
        role: "core",
        expected: "the address for the operator and the replicas",
    })?;
    let internal = listen(settings.internal_address()).await?;
    let control = listen(control).await?;

    let options = member_options(&settings)?;
    let (journal, recovered) = open_member(&settings, &options).await?;
    let rpc = Client::new(ClientOptions::default());
    let driver = MemberDriver::start(options, recovered, journal, rpc.clone());
    let tolerated = settings.fault_tolerance.members_of_a_group();
    let own_address = settings.internal_address();
    // An order may hold a configuration; signs of life and heartbeats don't wait behind it.
    let orders_rpc = Client::new(ClientOptions::default());
    let orders = Arc::new(OrderService::new(
        Arc::clone(&driver),
        orders_rpc,
        own_address,
        tolerated,
    ));
    let committed = Arc::new(PublishedState::new(Arc::clone(&driver)));
    let discovery = CoreDiscovery::new(&settings, random_number() | 1, rpc.clone(), committed);
    let seeds = settings.seed_internal_addresses();
    let planner = StoragePlanner::new(Arc::clone(&driver), rpc, seeds, tolerated);
    let sampler = Sampler::new(&settings, NodeRole::Core, random_number());

    let services = discovery.handlers(planner.handlers(internal_services(&driver, &orders)));
    tokio::spawn(woadreach_rpc::serve(internal, sampler.handlers(services)));
    tokio::spawn(Arc::clone(&sampler).run());
    tokio::spawn(Arc::clone(&discovery).run());
    tokio::spawn(planner.run());
    let (stop, stopped) = watch::channel(false);
    let server = http_server::serve(
        control,
        operator::router(Arc::clone(&orders)).merge(instances::router(discovery)),
        most_connections(&settings),
        stopped,
        DRAIN_TIMEOUT,
    );
    let server = tokio::spawn(server);
    tracing::info!(node = settings.node, address = %settings.internal_address(), "core machine started");

    follow_signals(&driver, &sampler, &mut terminate, &mut hangup).await;
    leave(&driver, settings.bounds.grace_period).await;
    stop.send_replace(true);
    // A server task that failed has nothing in hand any more.
    let _ = server.await;
    tracing::info!(node = settings.node, "core machine stopped");
    Ok(())
}

async fn listen(address: SocketAddr) -> Result<TcpListener, RoleError> {
    TcpListener::bind(address)
        .await
        .context(ListenSnafu { address })
}

fn most_connections(settings: &NodeSettings) -> usize {
    let free = settings.limits.max_fds.saturating_sub(RESERVED_DESCRIPTORS);
    free.clamp(FEWEST_CONNECTIONS, MOST_CONNECTIONS) as usize
}

fn internal_services(driver: &Arc<MemberDriver>, orders: &Arc<OrderService>) -> Router {
    let chain = Arc::clone(driver);
    let orders = Arc::clone(orders);
    Router::new()
        .route_checked(ServiceId::CHAIN, move |_peer, body| {
            let received = chain.receive(&body);
            async { received.map(|()| Vec::new()) }
        })
        .route_checked(ServiceId::FORWARD, move |_peer, body| {
            let orders = Arc::clone(&orders);
            async move { orders.take_forwarded(body).await }
        })
}

fn member_options(settings: &NodeSettings) -> Result<MemberOptions, RoleError> {
    let seeds = settings.seed_internal_addresses();
    let seeds: Result<Vec<SocketAddrV4>, RoleError> = seeds
        .into_iter()
        .map(|seed| version_four("seeds", seed))
        .collect();
    Ok(MemberOptions {
        address: version_four("ip", settings.internal_address())?,
        seeds: seeds?,
        tolerance: Tolerance {
            machines: settings.fault_tolerance.machines,
            zones: settings.fault_tolerance.zones,
            regions: settings.fault_tolerance.regions,
        },
        place: Place::named(&settings.zone, &settings.region),
        random_seed: random_number(),
    })
}

fn version_four(field: &'static str, address: SocketAddr) -> Result<SocketAddrV4, RoleError> {
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

/// A number that differs between processes, from the standard library's random keys.
fn random_number() -> u64 {
    std::hash::RandomState::new().build_hasher().finish()
}

/// Opens the journal. An empty disk gets a new identity, which is synced before anything else happens.
async fn open_member(
    settings: &NodeSettings,
    options: &MemberOptions,
) -> Result<(Journal, RecoveredMember), RoleError> {
    let path = settings.data_dir.clone().context(MissingFieldSnafu {
        field: "data_dir",
        role: "core",
        expected: "a folder on the machine's disk",
    })?;
    let (journal, found, is_intact) = open_journal(&path, settings.limits.disk_mb)?;
    if let Some(snapshot) = &found.snapshot {
        let recovered =
            recover(snapshot, &found.records).context(UnreadableSnafu { path: &path })?;
        tracing::info!(
            epoch = recovered.durable.view.epoch,
            number = recovered.number,
            "state recovered"
        );
        return Ok((journal, recovered));
    }
    let bootstrap = settings.bootstrap && is_intact;
    let durable = new_durable(bootstrap, options, random_number() | 1);
    let synced = journal.replace(encode_snapshot(0, &durable)).await;
    let _receipt = synced.context(JournalSnafu { path: &path })?;
    tracing::info!(
        identity = durable.identity,
        bootstrap,
        "empty disk taken into use"
    );
    Ok((journal, RecoveredMember { durable, number: 0 }))
}

/// Opens the journal; one whose content is damaged is emptied, and the machine is a new member.
fn open_journal(path: &Path, disk_mb: u64) -> Result<(Journal, Recovered, bool), RoleError> {
    let max_bytes = (disk_mb << 20) / 100 * DISK_SHARE;
    let options = JournalOptions {
        max_bytes,
        max_queued_bytes: QUEUED_BYTES,
    };
    match Journal::open(path, options) {
        Ok((journal, recovered)) => Ok((journal, recovered, true)),
        Err(error @ JournalError::Corrupt { .. }) => {
            tracing::error!(%error, "the journal is damaged; this machine starts as a new member");
            Journal::discard(path).context(JournalSnafu { path })?;
            let (journal, recovered) =
                Journal::open(path, options).context(JournalSnafu { path })?;
            Ok((journal, recovered, false))
        }
        Err(source) => Err(RoleError::Journal {
            path: path.to_owned(),
            source,
        }),
    }
}

/// Returns on SIGTERM; reads the settings again on SIGHUP, and while no quorum is in reach.
async fn follow_signals(
    driver: &MemberDriver,
    sampler: &Sampler,
    terminate: &mut Signal,
    hangup: &mut Signal,
) {
    loop {
        tokio::select! {
            _ = terminate.recv() => return,
            _ = hangup.recv() => read_seeds_again(driver, sampler),
            () = tokio::time::sleep(SETTINGS_INTERVAL) => {
                let in_quorum = driver.status().in_quorum;
                sampler.set_disconnected(!in_quorum);
                if !in_quorum {
                    read_seeds_again(driver, sampler);
                }
            }
        }
    }
}

/// Gives the member the seeds of the settings, and the core machines that other processes have named.
fn read_seeds_again(driver: &MemberDriver, sampler: &Sampler) {
    let options = NodeSettings::load_from_environment()
        .map_err(|source| RoleError::Settings { source })
        .and_then(|settings| {
            sampler.set_seeds(settings.seed_internal_addresses());
            member_options(&settings)
        });
    match options {
        Ok(options) => {
            let mut seeds = options.seeds;
            for machine in sampler.core_machines().borrow().iter() {
                match machine {
                    SocketAddr::V4(address) if !seeds.contains(address) => seeds.push(*address),
                    _ => {}
                }
            }
            driver.input(Input::Seeds(seeds));
        }
        Err(error) => tracing::warn!(%error, "settings not read again"),
    }
}

/// Asks to be taken out of the chain, and waits until nothing hangs on this machine's disk: it may be gone
/// for good.
async fn leave(driver: &MemberDriver, grace_period: Duration) {
    tracing::info!("leaving the chain");
    driver.input(Input::Leave);
    let started = Instant::now();
    let longest = grace_period.saturating_sub(LEAVE_MARGIN);
    loop {
        let departure = driver.departure();
        let limit = match departure {
            Departure::Free => Duration::ZERO,
            Departure::NobodyStays => ALONE_TIMEOUT.min(longest),
            _ => longest,
        };
        if started.elapsed() >= limit {
            tracing::info!(?departure, "left the chain");
            return;
        }
        tokio::time::sleep(LEAVE_POLL).await;
    }
}
