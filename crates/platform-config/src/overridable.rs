//! Fields of the configuration file that environment variables override.

use crate::ConfigError;
use crate::environment::CONFIG_VARIABLE;
use std::net::SocketAddr;
use wire_fields::Deferred;

/// A string from an environment variable, or from a field of the file where the variable is not
/// set. The field is checked only then.
pub(crate) struct OverridableText {
    variable: &'static str,
    field: &'static str,
    text: Deferred<String>,
}

impl OverridableText {
    /// A field that a variable overrides.
    pub(crate) fn new(variable: &'static str, field: &'static str, text: Deferred<String>) -> Self {
        OverridableText {
            variable,
            field,
            text,
        }
    }

    /// The string.
    pub(crate) fn text(
        self,
        environment: impl Fn(&str) -> Option<String>,
    ) -> Result<String, ConfigError> {
        match environment(self.variable) {
            Some(text) => Ok(text),
            None => Ok(self.text.required(CONFIG_VARIABLE, self.field)?),
        }
    }

    /// The string as a socket address.
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
