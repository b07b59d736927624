//! Loads the configuration of the program: the platform's JSON file and the operator's file.

use broker::operator::{OperatorConfig, OperatorConfigError};
use platform_config::{Config, ConfigError};
use std::path::PathBuf;
use thiserror::Error;

/// The configuration that a broker is started with.
pub(crate) struct Configuration {
    /// The contents of the platform's file, after the overrides from the environment.
    pub(crate) platform: Config,
    /// The contents of the operator's file; the default values if there is no file.
    pub(crate) operator: OperatorConfig,
}

/// An error that prevents the program from loading its configuration.
#[derive(Debug, Error)]
pub(crate) enum ConfigurationError {
    /// The platform's file is missing, is not JSON or has invalid values.
    #[error(transparent)]
    Platform(#[from] ConfigError),
    /// The operator's file cannot be read or is invalid. The text names the file and every error in
    /// it.
    #[error(transparent)]
    Operator(#[from] OperatorConfigError),
}

impl Configuration {
    /// Loads the operator's file, if a path is given, and then the platform's file, whose path is
    /// in the environment variable `RELAY_CONFIG`. The operator's log settings are applied before
    /// the platform's file is read, so that an error in that file is logged with these settings.
    ///
    /// # Errors
    ///
    /// One of the files cannot be read or is invalid.
    pub(crate) fn load(operator_file: Option<PathBuf>) -> Result<Self, ConfigurationError> {
        let operator = OperatorConfig::load(operator_file)?;
        operator.apply_log_settings();
        let platform = platform_config::load(platform_config::environment)?;
        Ok(Configuration { platform, operator })
    }
}
