//! The `tracing` layer that writes events as lines.

use crate::Format;
use crate::limiter::Limiter;
use crate::line::{Fields, Line};
use crate::mode;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;
use tracing::level_filters::LevelFilter;
use tracing::span::{Attributes, Id, Record};
use tracing::subscriber::Interest;
use tracing::{Event, Metadata, Subscriber};
use tracing_subscriber::layer::{Context, Layer};
use tracing_subscriber::registry::LookupSpan;

/// Packages whose events are logged. Events of all other packages are left out, so that libraries
/// cannot write to the log. A package of the project has to be listed here before it can log.
const LOGGED_PACKAGES: [&str; 6] = [
    "admission",
    "broker",
    "idempotency",
    "platform_config",
    "policy_engine",
    "query_broker",
];

/// Writes a line for each event that is logged.
pub(crate) struct LineLayer<W> {
    output: Mutex<W>,
    limiter: Limiter,
}

impl<W> LineLayer<W> {
    /// Creates a layer that writes to `output`.
    pub(crate) fn new(output: W) -> Self {
        LineLayer {
            output: Mutex::new(output),
            limiter: Limiter::default(),
        }
    }
}

/// Returns `true` if an event or span comes from one of [`LOGGED_PACKAGES`] and has a level that is
/// logged.
fn is_logged(metadata: &Metadata<'_>) -> bool {
    let package = metadata.target().split("::").next().unwrap_or_default();
    *metadata.level() <= mode::level() && LOGGED_PACKAGES.contains(&package)
}

impl<S, W> Layer<S> for LineLayer<W>
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    W: Write + Send + 'static,
{
    fn register_callsite(&self, metadata: &'static Metadata<'static>) -> Interest {
        if is_logged(metadata) {
            Interest::always()
        } else {
            Interest::never()
        }
    }

    fn enabled(&self, metadata: &Metadata<'_>, _: Context<'_, S>) -> bool {
        is_logged(metadata)
    }

    fn max_level_hint(&self) -> Option<LevelFilter> {
        Some(LevelFilter::from_level(mode::level()))
    }

    fn on_new_span(&self, attributes: &Attributes<'_>, id: &Id, context: Context<'_, S>) {
        let mut fields = Fields::default();
        attributes.record(&mut fields);
        if let Some(span) = context.span(id) {
            span.extensions_mut().insert(fields);
        }
    }

    fn on_record(&self, id: &Id, values: &Record<'_>, context: Context<'_, S>) {
        if let Some(span) = context.span(id)
            && let Some(fields) = span.extensions_mut().get_mut::<Fields>()
        {
            values.record(fields);
        }
    }

    fn on_event(&self, event: &Event<'_>, context: Context<'_, S>) {
        let metadata = event.metadata();
        let Some(suppressed) = self.limiter.admit(metadata.name(), Instant::now()) else {
            return;
        };
        let mut fields = Fields::default();
        event.record(&mut fields);
        for span in context.event_scope(event).into_iter().flatten() {
            if let Some(span_fields) = span.extensions().get::<Fields>() {
                fields.add_missing(span_fields);
            }
        }
        let line = Line {
            level: metadata.level(),
            event: metadata.name(),
            fields: &fields,
            suppressed,
        };
        let text = match mode::format() {
            Format::Logfmt => line.to_logfmt(),
            Format::Json => line.to_json(),
        };
        // If standard error is closed, the line is lost, but the program continues. `eprint!` would
        // panic instead.
        if let Ok(mut output) = self.output.lock() {
            let _ = output.write_all(text.as_bytes());
        }
    }
}
