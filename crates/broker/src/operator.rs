//! The operator's configuration in the running program: loading its file, reloading it and applying
//! the settings that may change without a restart.

use admission::resource_limits::Http2Overrides;
use batch_window::BatchWindow;
use logging::Format;
use operator_config::{ConfigFileErrors, LogFormat, LogLevel, MAX_FILE_BYTES, Settings, parse};
use std::fs::File;
use std::io::{self, Read};
use std::path::{Path, PathBuf};
use std::time::Duration;
use thiserror::Error;
use tracing::{Level, info, warn};

/// The operator's settings in effect, and the path of their file if they were read from one.
#[derive(Clone, Debug, Default)]
pub struct OperatorConfig {
    path: Option<PathBuf>,
    settings: Settings,
}

/// The reason why an operator's file cannot be used.
#[derive(Debug, Error)]
pub enum OperatorConfigError {
    /// The file cannot be read.
    #[error("{}: cannot be read: {source}", path.display())]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// Error of opening or reading the file.
        source: io::Error,
    },
    /// The file was read, but its content has errors.
    #[error(transparent)]
    Invalid(#[from] ConfigFileErrors),
}

/// Reads the text of an operator's file. At most [`MAX_FILE_BYTES`] + 1 bytes are read: the one
/// byte above the limit suffices for the parser to reject a file that is too long.
///
/// # Errors
///
/// Returns [`OperatorConfigError::Unreadable`] if the file cannot be read or is not UTF-8.
pub fn read_text(path: &Path) -> Result<String, OperatorConfigError> {
    let mut text = String::new();
    match File::open(path).and_then(|file| {
        file.take(MAX_FILE_BYTES as u64 + 1)
            .read_to_string(&mut text)
    }) {
        Ok(_) => Ok(text),
        Err(source) => Err(OperatorConfigError::Unreadable {
            path: path.to_owned(),
            source,
        }),
    }
}

/// Reads and parses an operator's file.
fn read_settings(path: &Path) -> Result<Settings, OperatorConfigError> {
    let text = read_text(path)?;
    Ok(parse(&path.display().to_string(), &text)?)
}

impl OperatorConfig {
    /// Loads the operator's file at the start of the program. If `path` is `None`, all settings
    /// have their defaults.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or its content has errors.
    pub fn load(path: Option<PathBuf>) -> Result<Self, OperatorConfigError> {
        let settings = match &path {
            Some(path) => read_settings(path)?,
            None => Settings::default(),
        };
        Ok(OperatorConfig { path, settings })
    }

    /// Parses settings from `text` instead of a file. [`OperatorConfig::reread`] returns them
    /// unchanged. Error messages contain `name` in the place of a file's path.
    ///
    /// # Errors
    ///
    /// Returns an error if the text has errors.
    pub fn from_text(name: &str, text: &str) -> Result<Self, OperatorConfigError> {
        Ok(OperatorConfig {
            path: None,
            settings: parse(name, text)?,
        })
    }

    /// Reads the file again and returns its settings, without applying them. Returns the settings
    /// in effect if they were not read from a file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or its content has errors.
    pub fn reread(&self) -> Result<Settings, OperatorConfigError> {
        match &self.path {
            Some(path) => read_settings(path),
            None => Ok(self.settings.clone()),
        }
    }

    /// Returns the configuration that [`OperatorConfig::apply`] with `new` would put in effect.
    #[must_use]
    pub fn with_settings(&self, new: &Settings) -> Self {
        OperatorConfig {
            path: self.path.clone(),
            settings: self.settings.adopt(new),
        }
    }

    /// Applies those settings of `new` that can change while the program runs. Logs the changed
    /// keywords: those that take effect now, and those that require a restart.
    pub fn apply(&mut self, new: &Settings) {
        let changes = self.settings.changes(new);
        self.settings = self.settings.adopt(new);
        self.apply_log_settings();
        if !changes.effective.is_empty() {
            info!(name: "operator_config_changed", changed = changes.effective.join(","));
        }
        if !changes.restart_required.is_empty() {
            warn!(name: "restart_required", changed = changes.restart_required.join(","));
        }
    }

    /// Returns the settings in effect.
    #[must_use]
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Sets the format and the level of the log to those of the settings in effect.
    pub fn apply_log_settings(&self) {
        let log = self.settings.log;
        logging::reconfigure(log_format(log.format), log_level(log.level));
    }

    /// Returns the batch window: an adaptive one if the operator has configured `gather-time`,
    /// otherwise the fixed `tick`, the minimum time between iterations in the platform's settings.
    #[must_use]
    pub fn batch_window(&self, tick: Duration) -> BatchWindow {
        self.settings
            .gather_time
            .map_or(BatchWindow::Fixed(tick), BatchWindow::Adaptive)
    }

    /// Returns the operator's limits for HTTP/2, or `None` if no HTTP/2 listener is configured.
    #[must_use]
    pub fn http2_overrides(&self) -> Option<Http2Overrides> {
        let http2 = self.settings.http2?;
        Some(Http2Overrides {
            max_connections: http2.connections,
            max_streams: http2.streams,
            connection_window: http2.connection_window,
            max_header_list: http2.header_list,
        })
    }
}

fn log_format(format: LogFormat) -> Format {
    match format {
        LogFormat::Logfmt => Format::Logfmt,
        LogFormat::Json => Format::Json,
    }
}

fn log_level(level: LogLevel) -> Level {
    match level {
        LogLevel::Error => Level::ERROR,
        LogLevel::Warn => Level::WARN,
        LogLevel::Info => Level::INFO,
        LogLevel::Debug => Level::DEBUG,
        LogLevel::Trace => Level::TRACE,
    }
}
