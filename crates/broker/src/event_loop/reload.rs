//! Reload of the configuration on SIGHUP.

use super::EventLoop;
use crate::operator::OperatorConfigError;
use admission::resource_limits::{AllocationError, ListenerLimits, allocate};
use broker_types::time::Timestamp;
use operator_config::Settings;
use platform_config::ConfigError;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tracing::{info, warn};

/// Time after which a failed reload is repeated: the file may have been read while it was being written, and changes
/// of the platform's configuration must take effect within seconds.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// What a reload changes.
struct Reloaded {
    discovery: SocketAddr,
    operator_settings: Settings,
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

impl EventLoop {
    /// Reloads the configuration if that was requested or has to be repeated by now.
    pub(super) fn reload_if_due(&mut self, now: Timestamp) {
        if self.reload_at.take_if(|at| now >= *at).is_some() {
            self.reload(now);
        }
    }

    /// Reloads the platform's configuration and the operator's file. If one of them is missing or invalid, neither
    /// takes effect, and the reload is repeated later.
    fn reload(&mut self, now: Timestamp) {
        match self.read_configuration() {
            Ok(reloaded) => self.apply(reloaded),
            Err(error) => {
                warn!(name: "reload_failed", error = %error);
                self.reload_at = Some(now + RETRY_DELAY);
            }
        }
    }

    fn read_configuration(&self) -> Result<Reloaded, ReloadError> {
        let platform = platform_config::reload(platform_config::environment)?;
        let operator_settings = self.operator.read_again()?;
        let http2 = self
            .operator
            .with_settings(&operator_settings)
            .http2_overrides();
        Ok(Reloaded {
            discovery: platform.discovery,
            operator_settings,
            listener_limits: allocate(self.client_resources, http2)?,
        })
    }

    fn apply(&mut self, reloaded: Reloaded) {
        let discovery = reloaded.discovery;
        self.operator.apply(&reloaded.operator_settings);
        self.batch_window = self.operator.batch_window(self.tick);
        self.listeners.set_limits(reloaded.listener_limits);
        info!(name: "configuration_reloaded", discovery = %discovery);
        self.discovery.move_to(discovery);
    }
}
