//! The operator's configuration file: settings of an installation that are not part of the
//! platform's configuration.
//!
//! Each line has a keyword and its argument, separated by blanks; `#` starts a comment; sizes and
//! times have a unit (`250ms`, `64KiB`). `grammar` splits the text into tokens with their
//! positions, `keywords` lists the keywords with their arguments and the time when a change takes
//! effect, `values` parses arguments, and `parser` builds the typed [`Settings`] and rejects
//! keywords whose required keyword is absent. [`parse`] reports all errors of a file together, each
//! with its position.
//!
//! ```
//! let text = "listen-http2 127.0.0.1:8443\nhttp2-streams 100 # per connection\n";
//! let settings = operator_config::parse("query-broker.conf", text).unwrap();
//! assert_eq!(settings.http2.unwrap().streams, Some(100));
//! let errors = operator_config::parse("query-broker.conf", "http2-stream 100").unwrap_err();
//! assert!(errors.to_string().contains("query-broker.conf:1:1: unknown keyword http2-stream"));
//! ```

mod error;
mod grammar;
mod keywords;
mod limits;
mod parser;
mod settings;
mod values;

pub use error::{ConfigFileError, ConfigFileErrors, ErrorKind};
pub use keywords::{Effect, KEYWORDS, Keyword};
pub use limits::MAX_FILE_BYTES;
pub use parser::parse;
pub use settings::{Changes, Http2Settings, LogFormat, LogLevel, LogSettings, Settings};
pub use values::InvalidValue;
