//! Fields of the configuration file that environment variables can override.

use crate::ConfigError;
use crate::environment::CONFIG_VARIABLE;
use std::net::SocketAddr;
use wire_fields::Deferred;

/// A string that comes from an environment variable or, if the variable is not set, from a field of
/// the file. If the variable is set, the field may be missing or have a wrong type.
pub(crate) struct OverridableText {
    variable: &'static str,
    field: &'static str,
    text: Deferred<String>,
}

impl OverridableText {
    /// Creates the string from `text`, the content of the file's field `field`, which the
    /// environment variable `variable` overrides.
    pub(crate) fn new(variable: &'static str, field: &'static str, text: Deferred<String>) -> Self {
        OverridableText {
            variable,
            field,
            text,
        }
    }

    /// Returns the string.
    ///
    /// # Errors
    ///
    /// The variable is not set, and the field is missing or not a string.
    pub(crate) fn text(
        self,
        environment: impl Fn(&str) -> Option<String>,
    ) -> Result<String, ConfigError> {
        match environment(self.variable) {
            Some(text) => Ok(text),
            None => Ok(self.text.required(CONFIG_VARIABLE, self.field)?),
        }
    }

    /// Returns the string parsed as a socket address.
    ///
    /// # Errors
    ///
    /// Those of [`OverridableText::text`], and [`ConfigError::InvalidAddress`].
    pub(crate) fn address(
        self,
        environment: impl Fn(&str) -> Option<String>,
    ) -> Result<SocketAddr, ConfigError> {
        let (variable, field) = (self.variable, self.field);
        let text = self.text(environment)?;
        text.parse().map_err(|_| ConfigError::InvalidAddress {
            variable,
            field,
            text,
        })
    }
}
