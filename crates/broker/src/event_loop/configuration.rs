//! The configuration in effect, and its reload on SIGHUP.
//!
//! [`Configuration`] owns the operator's settings and the time of the next reload.

use crate::discovery::DiscoveryWatch;
use crate::listeners::ClientListeners;
use crate::operator::{OperatorConfig, OperatorConfigError};
use admission::resource_limits::{AllocationError, ClientResources, ListenerLimits, allocate};
use batch_window::BatchWindow;
use broker_types::time::Timestamp;
use operator_config::Settings;
use platform_config::ConfigError;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tracing::{info, warn};

/// Time after which a failed reload is repeated: the file may have been read while it was being
/// written, and changes of the platform's configuration must take effect within seconds.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// The configuration in effect, as far as it can change while the program runs.
pub(super) struct Configuration {
    operator: OperatorConfig,
    /// Resources that the platform grants to client connections.
    client_resources: ClientResources,
    /// Least time from an iteration to the next one that only a deadline causes.
    tick: Duration,
    /// Time for which events are gathered before an iteration.
    batch_window: BatchWindow,
    /// Time of the next attempt to reload.
    reload_at: Option<Timestamp>,
}

/// Both configurations, as they were read again.
struct Reloaded {
    operator_settings: Settings,
    /// Address of the discovery service.
    discovery: SocketAddr,
    /// Limits of future client connections.
    listener_limits: ListenerLimits,
}

/// Why a configuration could not be reloaded.
#[derive(Debug, Error)]
enum ReloadError {
    /// The platform's configuration is invalid.
    #[error(transparent)]
    Platform(#[from] ConfigError),
    /// The operator's file is invalid.
    #[error(transparent)]
    Operator(#[from] OperatorConfigError),
    /// The operator's settings need more resources than the platform grants.
    #[error(transparent)]
    Resources(#[from] AllocationError),
}

impl Configuration {
    /// Returns the configuration at the start of the program.
    pub(super) fn new(
        operator: OperatorConfig,
        client_resources: ClientResources,
        tick: Duration,
    ) -> Self {
        Configuration {
            batch_window: operator.batch_window(tick),
            operator,
            client_resources,
            tick,
            reload_at: None,
        }
    }

    /// Returns the least time from an iteration to the next one that only a deadline causes.
    pub(super) fn tick(&self) -> Duration {
        self.tick
    }

    /// Returns the time for which events are gathered before an iteration.
    pub(super) fn batch_window(&self) -> BatchWindow {
        self.batch_window
    }

    /// Requests a reload in this iteration.
    pub(super) fn request_reload(&mut self, now: Timestamp) {
        self.reload_at = Some(now);
    }

    /// Returns the time of the next reload, if there is to be one.
    pub(super) fn next_reload(&self) -> Option<Timestamp> {
        self.reload_at
    }

    /// Reloads the configuration if that was requested or has to be repeated by now, and applies it
    /// to the listeners and to discovery. If the platform's configuration or the operator's file is
    /// missing or invalid, neither takes effect, and the reload is repeated later.
    pub(super) fn reload_if_due(
        &mut self,
        now: Timestamp,
        listeners: &ClientListeners,
        discovery: &mut DiscoveryWatch,
    ) {
        if self.reload_at.take_if(|at| now >= *at).is_none() {
            return;
        }
        match self.read() {
            Ok(reloaded) => {
                self.operator.apply(&reloaded.operator_settings);
                self.batch_window = self.operator.batch_window(self.tick);
                listeners.set_limits(reloaded.listener_limits);
                info!(name: "configuration_reloaded", discovery = %reloaded.discovery);
                discovery.move_to(reloaded.discovery);
            }
            Err(error) => {
                warn!(name: "reload_failed", error = %error);
                self.reload_at = Some(now + RETRY_DELAY);
            }
        }
    }

    fn read(&self) -> Result<Reloaded, ReloadError> {
        let platform = platform_config::reload(platform_config::environment)?;
        let operator_settings = self.operator.read_again()?;
        let http2 = self
            .operator
            .with_settings(&operator_settings)
            .http2_overrides();
        Ok(Reloaded {
            discovery: platform.discovery,
            listener_limits: allocate(self.client_resources, http2)?,
            operator_settings,
        })
    }
}
