//! Parsing of a file's text into typed settings. All errors are collected.

use crate::error::{ConfigFileError, ConfigFileErrors, ErrorKind, SourceText};
use crate::grammar::{KeywordLine, Token, parse_lines};
use crate::keywords::{self, KEYWORDS, Keyword};
use crate::limits::MAX_FILE_BYTES;
use crate::settings::{Http2Settings, LogFormat, LogLevel, LogSettings, Settings};
use crate::values::{self, Choice, InvalidValue, choice};
use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::time::Duration;

const LOG_FORMATS: &[Choice<LogFormat>] = &[
    choice("logfmt", LogFormat::Logfmt),
    choice("json", LogFormat::Json),
];
const LOG_LEVELS: &[Choice<LogLevel>] = &[
    choice("error", LogLevel::Error),
    choice("warn", LogLevel::Warn),
    choice("info", LogLevel::Info),
    choice("debug", LogLevel::Debug),
    choice("trace", LogLevel::Trace),
];

/// Bounds of `gather-time`.
const GATHER_TIME_BOUNDS: RangeInclusive<Duration> = Duration::ZERO..=Duration::from_millis(50);
/// Bounds of `http2-connections`.
const CONNECTIONS_BOUNDS: RangeInclusive<u64> = 1..=65_536;
/// Bounds of `http2-streams`.
const STREAMS_BOUNDS: RangeInclusive<u64> = 1..=65_536;
/// Bounds of `http2-connection-window`, in bytes.
const CONNECTION_WINDOW_BYTES: RangeInclusive<u64> = 64 << 10..=64 << 20;
/// Bounds of `http2-header-list`, in bytes.
const HEADER_LIST_BYTES: RangeInclusive<u64> = 1 << 10..=64 << 10;

/// Parses the text of a file. Errors refer to the file as `name`.
///
/// # Errors
///
/// Returns all errors of the file, in the order of their positions.
pub fn parse(name: &str, text: &str) -> Result<Settings, ConfigFileErrors> {
    let source = SourceText::new(name, text);
    if text.len() > MAX_FILE_BYTES {
        let kind = ErrorKind::FileTooLong { bytes: text.len() };
        return Err(ConfigFileErrors {
            errors: vec![source.error(&(0..0), kind)],
        });
    }
    let mut parser = SettingsParser::new(source);
    for line in parse_lines(text) {
        parser.add_line(line);
    }
    let settings = parser.settings();
    let mut errors = parser.errors;
    if errors.is_empty() {
        return Ok(settings);
    }
    errors.sort_by_key(|error| error.span.start);
    Err(ConfigFileErrors { errors })
}

/// A known keyword in the file, with its only argument.
#[derive(Clone)]
struct Entry {
    keyword: Token,
    argument: Token,
}

/// Collects the keywords and the errors of a file, and converts the arguments into [`Settings`].
struct SettingsParser<'a> {
    source: SourceText<'a>,
    errors: Vec<ConfigFileError>,
    /// First line with exactly one argument for each keyword, by the keyword's name.
    entries: BTreeMap<&'static str, Entry>,
}

impl<'a> SettingsParser<'a> {
    fn new(source: SourceText<'a>) -> Self {
        SettingsParser {
            source,
            errors: Vec::new(),
            entries: BTreeMap::new(),
        }
    }

    /// Adds an error at the position of `token`.
    fn report(&mut self, token: &Token, kind: ErrorKind) {
        let error = self.source.error(&token.span, kind);
        self.errors.push(error);
    }

    /// Adds a line of the file, or reports its keyword if it is unknown or a duplicate.
    fn add_line(&mut self, line: KeywordLine) {
        let name = &line.keyword.text;
        let Some(keyword) = keywords::find(name) else {
            let kind = ErrorKind::UnknownKeyword {
                keyword: name.clone(),
                nearest: keywords::find_similar(name),
            };
            return self.report(&line.keyword, kind);
        };
        if let Some(first) = self.entries.get(keyword.name) {
            let kind = ErrorKind::RepeatedKeyword {
                keyword: keyword.name,
                first_line: self.source.line(first.keyword.span.start),
            };
            return self.report(&line.keyword, kind);
        }
        self.add_entry(keyword, line);
    }

    /// Adds a line with a known keyword, or reports an error if it does not have exactly one
    /// argument.
    fn add_entry(&mut self, keyword: &Keyword, line: KeywordLine) {
        let mut arguments = line.arguments.into_iter();
        match (arguments.next(), arguments.next()) {
            (None, _) => {
                let kind = ErrorKind::MissingArgument {
                    keyword: keyword.name,
                    argument: keyword.argument,
                };
                self.report(&line.keyword, kind);
            }
            (Some(argument), None) => {
                let entry = Entry {
                    keyword: line.keyword,
                    argument,
                };
                self.entries.insert(keyword.name, entry);
            }
            (_, Some(surplus)) => {
                let kind = ErrorKind::SurplusArgument {
                    keyword: keyword.name,
                    argument: keyword.argument,
                    surplus: surplus.text.clone(),
                };
                self.report(&surplus, kind);
            }
        }
    }

    /// Returns the typed value of a keyword's argument, or `None` if the keyword is absent or its
    /// argument is invalid, which is reported.
    fn value<T>(
        &mut self,
        keyword: &'static str,
        parse_value: impl Fn(&str) -> Result<T, InvalidValue>,
    ) -> Option<T> {
        let argument = self.entries.get(keyword)?.argument.clone();
        match parse_value(&argument.text) {
            Ok(value) => Some(value),
            Err(expected) => {
                let kind = ErrorKind::InvalidArgument {
                    keyword,
                    argument: argument.text.clone(),
                    expected,
                };
                self.report(&argument, kind);
                None
            }
        }
    }

    fn whole_number(&mut self, keyword: &'static str, bounds: &RangeInclusive<u64>) -> Option<u64> {
        self.value(keyword, |argument| {
            values::parse_whole_number(argument, bounds)
        })
    }

    fn size(&mut self, keyword: &'static str, bounds: &RangeInclusive<u64>) -> Option<u64> {
        self.value(keyword, |argument| values::parse_size(argument, bounds))
    }

    /// Converts the collected arguments into settings, and reports arguments that are invalid and
    /// keywords that have no effect. The settings are usable only if there is no error.
    fn settings(&mut self) -> Settings {
        let log = self.log_settings();
        let gather_time = self.value(keywords::GATHER_TIME, |argument| {
            values::parse_duration(argument, &GATHER_TIME_BOUNDS)
        });
        let http2 = self.http2_settings();
        self.check_requirements();
        Settings {
            log,
            http2,
            gather_time,
            arguments: self.arguments(),
        }
    }

    fn log_settings(&mut self) -> LogSettings {
        let format = self.value(keywords::LOG_FORMAT, |argument| {
            values::parse_choice(argument, LOG_FORMATS)
        });
        let level = self.value(keywords::LOG_LEVEL, |argument| {
            values::parse_choice(argument, LOG_LEVELS)
        });
        LogSettings {
            format: format.unwrap_or_default(),
            level: level.unwrap_or_default(),
        }
    }

    /// Returns the settings of the HTTP/2 listener, or `None` if the file has no valid
    /// `listen-http2`. The other arguments are checked even then, so that their errors are reported
    /// too.
    fn http2_settings(&mut self) -> Option<Http2Settings> {
        let listen = self.value(keywords::LISTEN_HTTP2, values::parse_address);
        let connections = self.whole_number(keywords::HTTP2_CONNECTIONS, &CONNECTIONS_BOUNDS);
        let streams = self.whole_number(keywords::HTTP2_STREAMS, &STREAMS_BOUNDS);
        let connection_window =
            self.size(keywords::HTTP2_CONNECTION_WINDOW, &CONNECTION_WINDOW_BYTES);
        let header_list = self.size(keywords::HTTP2_HEADER_LIST, &HEADER_LIST_BYTES);
        Some(Http2Settings {
            listen: listen?,
            connections: connections.map(|n| n as usize),
            streams: streams.map(|n| n as u32),
            connection_window: connection_window.map(|n| n as u32),
            header_list: header_list.map(|n| n as u32),
        })
    }

    /// Reports keywords that have no effect because a keyword that they require is absent from the
    /// file or does not have exactly one argument.
    fn check_requirements(&mut self) {
        for keyword in KEYWORDS {
            let Some(requires) = keyword.requires else {
                continue;
            };
            if self.entries.contains_key(requires) {
                continue;
            }
            if let Some(entry) = self.entries.get(keyword.name).cloned() {
                let kind = ErrorKind::MissingRequirement {
                    keyword: keyword.name,
                    requires,
                };
                self.report(&entry.keyword, kind);
            }
        }
    }

    /// Returns the arguments as written in the file, by keyword.
    fn arguments(&self) -> BTreeMap<&'static str, String> {
        self.entries
            .iter()
            .map(|(name, entry)| (*name, entry.argument.text.clone()))
            .collect()
    }
}
