//! The configuration of the program: the platform's file and the operator's file.

use broker::operator::{OperatorConfig, OperatorConfigError};
use platform_config::{Config, ConfigError};
use std::path::PathBuf;
use thiserror::Error;

/// Both parts of the configuration.
pub(crate) struct Configuration {
    /// The platform's.
    pub(crate) platform: Config,
    /// The operator's.
    pub(crate) operator: OperatorConfig,
}

/// Why the program cannot be configured.
#[derive(Debug, Error)]
pub(crate) enum ConfigurationError {
    /// The platform's configuration cannot be used.
    #[error(transparent)]
    Platform(#[from] ConfigError),
    /// The operator's file cannot be used; the text names the file and every error in it.
    #[error(transparent)]
    Operator(#[from] OperatorConfigError),
}

impl Configuration {
    /// Reads the operator's file, if there is one, and the platform's configuration from the path
    /// in the environment.
    pub(crate) fn load(operator_file: Option<PathBuf>) -> Result<Self, ConfigurationError> {
        let operator = OperatorConfig::load(operator_file)?;
        operator.apply_log_settings();
        let platform = platform_config::load(platform_config::environment)?;
        Ok(Configuration { platform, operator })
    }
}
