//! The start of the broker: installs the signal handlers, opens the listeners and runs the event
//! loop.

use super::iteration::EventLoop;
use super::runtime::Runtime;
use crate::listeners::ListenerConfig;
use crate::operator::OperatorConfig;
use admission::resource_limits::{AllocationError, ListenerLimits, allocate};
use async_io::Async;
use async_signal::{Signal, Signals};
use platform_config::Config;
use std::io;
use std::net::{SocketAddr, TcpListener};
use thiserror::Error;
use tracing::info;

/// The addresses on which the broker listens for clients.
#[derive(Clone, Copy, Debug)]
pub struct ListenAddresses {
    /// Address for HTTP/1.1.
    pub http1: SocketAddr,
    /// Address for HTTP/2, if the operator configures one.
    pub http2: Option<SocketAddr>,
}

/// The reason why a broker could not start.
#[derive(Debug, Error)]
pub enum StartupError {
    /// A listener could not be opened on its configured address.
    #[error("cannot listen for {protocol} on {address}: {source}")]
    Listener {
        /// Protocol of the listener.
        protocol: &'static str,
        /// The configured address.
        address: SocketAddr,
        /// Error of opening the listener.
        source: io::Error,
    },
    /// The address of an open listener could not be determined.
    #[error("cannot determine the address of an open listener: {0}")]
    ListenerAddress(#[source] io::Error),
    /// The operator's settings need more resources than the platform grants.
    #[error(transparent)]
    Resources(#[from] AllocationError),
}

/// Installs handlers for SIGTERM, SIGINT and SIGHUP. From then on these signals no longer have
/// their default effect, and [`run`] receives them through the returned value.
///
/// # Errors
///
/// Returns an error if a signal handler cannot be installed.
pub fn catch_signals() -> io::Result<Signals> {
    Signals::new([Signal::Term, Signal::Int, Signal::Hup])
}

/// Runs a broker until its graceful shutdown is complete. Calls `on_started` with the broker's
/// addresses once its listeners are open.
///
/// # Errors
///
/// Returns an error if the broker cannot start.
pub fn run(
    config: Config,
    operator: OperatorConfig,
    signals: Signals,
    on_started: impl FnOnce(ListenAddresses),
) -> Result<(), StartupError> {
    let name = config.name.clone();
    let revision = config.cached_endpoints.revision;
    let servers = config.cached_endpoints.endpoints.len();
    let runtime = Runtime::start();
    let limits = allocate(config.clients, operator.http2_overrides())?;
    let http2_address = operator.settings().http2.map(|http2| http2.listen);
    let listeners = bind_listeners(config.listen, http2_address, limits)?;
    let addresses = listen_addresses(&listeners).map_err(StartupError::ListenerAddress)?;
    runtime.spawn_signal_handler(signals);
    let mut event_loop = EventLoop::new(config, operator, listeners, &runtime);
    info!(name: "broker_started", name = %name, listen = %addresses.http1, revision, servers);
    log_http2_listener(addresses, limits);
    on_started(addresses);
    runtime.block_on(event_loop.run());
    info!(name: "broker_stopped", name = %name);
    Ok(())
}

/// Opens the listeners on their configured addresses.
fn bind_listeners(
    http1: SocketAddr,
    http2: Option<SocketAddr>,
    limits: ListenerLimits,
) -> Result<ListenerConfig, StartupError> {
    Ok(ListenerConfig {
        http1: bind_listener("HTTP/1.1", http1)?,
        http2: http2
            .map(|address| bind_listener("HTTP/2", address))
            .transpose()?,
        limits,
    })
}

/// Opens a listener for `protocol` on `address`.
fn bind_listener(
    protocol: &'static str,
    address: SocketAddr,
) -> Result<Async<TcpListener>, StartupError> {
    Async::<TcpListener>::bind(address).map_err(|source| StartupError::Listener {
        protocol,
        address,
        source,
    })
}

/// Returns the addresses of the open listeners. If port 0 is configured, the address contains the
/// port that the operating system has chosen.
fn listen_addresses(listeners: &ListenerConfig) -> io::Result<ListenAddresses> {
    let local_address = |listener: &Async<TcpListener>| listener.get_ref().local_addr();
    Ok(ListenAddresses {
        http1: local_address(&listeners.http1)?,
        http2: listeners.http2.as_ref().map(local_address).transpose()?,
    })
}

/// Logs the address and the limits of the HTTP/2 listener, if there is one.
fn log_http2_listener(addresses: ListenAddresses, limits: ListenerLimits) {
    if let (Some(address), Some(limits)) = (addresses.http2, limits.http2) {
        info!(
            name: "http2_listener_started",
            listen = %address,
            max_connections = limits.max_connections,
            max_streams = limits.max_streams
        );
    }
}
