//! The configuration in effect, and its reload on SIGHUP.
//!
//! [`Configuration`] owns the operator's settings in effect and the time of the next reload.

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

/// Time after which a failed reload is repeated. A reload can fail because the file was read while
/// it was being written, and changes of the platform's configuration must take effect within
/// seconds.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// The configuration in effect: the settings that a reload can change, and the platform's settings
/// that a reload needs.
pub(super) struct Configuration {
    operator: OperatorConfig,
    /// Resources that the platform grants to client connections.
    client_resources: ClientResources,
    /// Minimum time from an iteration to the next one if no event occurs in between.
    tick: Duration,
    /// Rule for the minimum time between the starts of two iterations. The events that occur during
    /// this time are handled together in the later iteration.
    batch_window: BatchWindow,
    /// Time of the next reload, or of its repetition after a failure. `None` if no reload is
    /// pending.
    reload_at: Option<Timestamp>,
}

/// The values that a reload has read from the platform's configuration and the operator's file, and
/// has not applied yet.
struct ReloadedSettings {
    /// All settings of the operator's file.
    operator_settings: Settings,
    /// Address of the discovery service.
    discovery: SocketAddr,
    /// Limits of client connections that are opened after the reload.
    listener_limits: ListenerLimits,
}

/// The reason why a reload failed.
#[derive(Debug, Error)]
enum ReloadError {
    /// The platform's configuration is missing or invalid.
    #[error(transparent)]
    Platform(#[from] ConfigError),
    /// The operator's file cannot be read or is invalid.
    #[error(transparent)]
    Operator(#[from] OperatorConfigError),
    /// The operator's settings need more resources than the platform grants.
    #[error(transparent)]
    Resources(#[from] AllocationError),
}

impl Configuration {
    /// Creates the configuration with which the program starts. No reload is requested.
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

    /// Returns the minimum time from an iteration to the next one if no event occurs in between.
    pub(super) fn tick(&self) -> Duration {
        self.tick
    }

    /// Returns the rule for the minimum time between the starts of two iterations. The events that
    /// occur during this time are handled together in the later iteration.
    pub(super) fn batch_window(&self) -> BatchWindow {
        self.batch_window
    }

    /// Requests a reload, which [`Configuration::reload_if_due`] performs later in the same
    /// iteration.
    pub(super) fn request_reload(&mut self, now: Timestamp) {
        self.reload_at = Some(now);
    }

    /// Returns the time of the next reload, or `None` if no reload is pending.
    pub(super) fn next_reload(&self) -> Option<Timestamp> {
        self.reload_at
    }

    /// Reloads the configuration if a reload was requested, or if the time to repeat a failed
    /// reload has come, and applies it to the listeners and to discovery. If the reload fails with
    /// any [`ReloadError`], nothing is applied from the platform's configuration or from the
    /// operator's file, and the reload is repeated after [`RETRY_DELAY`].
    pub(super) fn reload_if_due(
        &mut self,
        now: Timestamp,
        listeners: &ClientListeners,
        discovery: &mut DiscoveryWatch,
    ) {
        if self.reload_at.take_if(|at| now >= *at).is_none() {
            return;
        }
        match self.read_configurations() {
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

    /// Reads the platform's configuration and the operator's file, and computes the limits of
    /// client connections from the operator's limits and the resources that the platform grants.
    fn read_configurations(&self) -> Result<ReloadedSettings, ReloadError> {
        let platform = platform_config::reload(platform_config::environment)?;
        let operator_settings = self.operator.reread()?;
        let http2 = self
            .operator
            .with_settings(&operator_settings)
            .http2_overrides();
        Ok(ReloadedSettings {
            discovery: platform.discovery,
            listener_limits: allocate(self.client_resources, http2)?,
            operator_settings,
        })
    }
}
