//! Formats the figures of all measurements as tables and as JSON.

use super::bad_clients::{BadClientFigures, kind_name};
use super::flood::FloodFigures;
use super::load::LoadFigures;
use super::measurements::HttpVersion;
use super::memory::MemoryFigures;
use hdrhistogram::Histogram;
use serde_json::{Value, json};

/// Number of bytes in a MiB.
const MIB: f64 = (1 << 20) as f64;

/// The figures of all measurements.
#[derive(Default)]
pub(super) struct Results {
    pub(super) loads: Vec<LoadFigures>,
    pub(super) memory: Vec<MemoryFigures>,
    pub(super) floods: Vec<FloodFigures>,
    pub(super) bad_clients: Vec<BadClientFigures>,
}

impl Results {
    /// Returns all figures as JSON.
    pub(super) fn to_json(&self) -> Value {
        let loads: Vec<Value> = self.loads.iter().map(load_json).collect();
        let memory: Vec<Value> = self.memory.iter().map(memory_json).collect();
        let floods: Vec<Value> = self.floods.iter().map(flood_json).collect();
        let bad_clients: Vec<Value> = self.bad_clients.iter().map(bad_clients_json).collect();
        json!({"load": loads, "memory": memory, "floods": floods, "bad_clients": bad_clients})
    }

    /// Returns all figures as tables, with a note on what was measured below each.
    pub(super) fn to_table(&self) -> String {
        load_table(&self.loads)
            + &memory_table(&self.memory)
            + &flood_table(&self.floods)
            + &bad_clients_table(&self.bad_clients)
    }
}

/// Returns a quantile of latencies in milliseconds; the histogram counts microseconds.
fn quantile_ms(latency: &Histogram<u64>, quantile: f64) -> f64 {
    latency.value_at_quantile(quantile) as f64 / 1000.0
}

/// Returns the name of a measurement of load, which does not include its pacing and its rate.
fn load_name(figures: &LoadFigures) -> String {
    let measurement = &figures.measurement;
    let route = measurement.route.name();
    format!("{route}, {} at once", measurement.max_concurrent)
}

fn load_json(figures: &LoadFigures) -> Value {
    let quantile = |q| quantile_ms(&figures.latency, q);
    json!({"what": load_name(figures), "turns": figures.measurement.pacing.name(),
        "asked_per_s": figures.measurement.rate, "served_per_s": figures.served_per_second,
        "unserved": figures.unserved, "cpu_us_per_query": figures.cpu_us_per_query,
        "parts_per_call": figures.parts_per_call,
        "p50_ms": quantile(0.5), "p99_ms": quantile(0.99), "p999_ms": quantile(0.999)})
}

fn load_table(rows: &[LoadFigures]) -> String {
    let mut text = format!(
        "{:<40} {:<7} {:>9} {:>9} {:>8} {:>8} {:>8} {:>8} {:>11} {:>8}\n",
        "listener",
        "pacing",
        "offered/s",
        "served/s",
        "p50 ms",
        "p99 ms",
        "p99.9 ms",
        "CPU us",
        "parts/call",
        "unserved"
    );
    for figures in rows {
        let rate = figures.measurement.rate;
        let rate = rate.map_or("all".to_owned(), |rate| format!("{rate:.0}"));
        let cpu = figures.cpu_us_per_query;
        let cpu = cpu.map_or("-".to_owned(), |cpu| format!("{cpu:.1}"));
        text += &format!(
            "{:<40} {:<7} {rate:>9} {:>9.0} {:>8.2} {:>8.2} {:>8.2} {cpu:>8} {:>11.2} {:>8}\n",
            load_name(figures),
            figures.measurement.pacing.name(),
            figures.served_per_second,
            quantile_ms(&figures.latency, 0.5),
            quantile_ms(&figures.latency, 0.99),
            quantile_ms(&figures.latency, 0.999),
            figures.parts_per_call,
            figures.unserved
        );
    }
    text + "Latency is measured from the time at which a query was due. CPU us is the broker's processor time for each query.\n\
         Each query has two parts, and the data servers respond immediately.\n\
         offered/s all: no fixed rate; each query is sent as soon as an earlier one has ended.\n"
}

/// Returns the name of the listener in the figures of memory.
fn version_name(version: HttpVersion) -> &'static str {
    match version {
        HttpVersion::Http1 => "HTTP/1.1",
        HttpVersion::Http2 => "HTTP/2, 100 a connection",
    }
}

fn memory_json(figures: &MemoryFigures) -> Value {
    let measurement = &figures.measurement;
    json!({"front": version_name(measurement.version), "queries": measurement.requests,
        "bytes_before": figures.bytes_before, "bytes_with": figures.bytes_with_requests,
        "kib_each": figures.kib_per_request()})
}

fn memory_table(rows: &[MemoryFigures]) -> String {
    let mut text = format!(
        "\n{:<26} {:>8} {:>11} {:>11} {:>9}\n",
        "listener", "requests", "before MiB", "with MiB", "KiB each"
    );
    for figures in rows {
        text += &format!(
            "{:<26} {:>8} {:>11.1} {:>11.1} {:>9.1}\n",
            version_name(figures.measurement.version),
            figures.measurement.requests,
            figures.bytes_before as f64 / MIB,
            figures.bytes_with_requests as f64 / MIB,
            figures.kib_per_request()
        );
    }
    text + "Resident memory of the broker before and with this number of requests whose bodies have not arrived.\n"
}

fn flood_json(figures: &FloodFigures) -> Value {
    let quantile = |q| quantile_ms(&figures.latency, q);
    json!({"flood": figures.kind.name(),
        "p50_ms": quantile(0.5), "p99_ms": quantile(0.99), "p999_ms": quantile(0.999),
        "unserved": figures.unserved, "ended": figures.attack.closed_connections,
        "longest_s": figures.attack.longest_connection.as_secs_f64()})
}

fn flood_table(rows: &[FloodFigures]) -> String {
    let mut text = format!(
        "\n{:<14} {:>8} {:>8} {:>8} {:>9} {:>7} {:>10}\n",
        "flood", "p50 ms", "p99 ms", "p99.9 ms", "unserved", "closed", "longest s"
    );
    for figures in rows {
        text += &format!(
            "{:<14} {:>8.2} {:>8.2} {:>8.2} {:>9} {:>7} {:>10.2}\n",
            figures.kind.name(),
            quantile_ms(&figures.latency, 0.5),
            quantile_ms(&figures.latency, 0.99),
            quantile_ms(&figures.latency, 0.999),
            figures.unserved,
            figures.attack.closed_connections,
            figures.attack.longest_connection.as_secs_f64()
        );
    }
    text + "Regular clients send 500 queries a second over two connections. One attacker floods the broker\n\
         and reconnects as soon as the broker closes its connection. closed: attacker's connections that the broker closed;\n\
         longest s: duration of the longest of them.\n"
}

fn bad_clients_json(figures: &BadClientFigures) -> Value {
    let quantile = |q| quantile_ms(&figures.latency, q);
    json!({"bad_clients": kind_name(figures.kind),
        "p50_ms": quantile(0.5), "p99_ms": quantile(0.99), "p999_ms": quantile(0.999),
        "served": figures.served, "unserved": figures.unserved,
        "bad_responses": figures.bad_responses})
}

fn bad_clients_table(rows: &[BadClientFigures]) -> String {
    let mut text = format!(
        "\n{:<36} {:>8} {:>8} {:>8} {:>7} {:>9} {:>14}\n",
        "bad clients", "p50 ms", "p99 ms", "p99.9 ms", "served", "unserved", "bad responses"
    );
    for figures in rows {
        text += &format!(
            "{:<36} {:>8.2} {:>8.2} {:>8.2} {:>7} {:>9} {:>14}\n",
            kind_name(figures.kind),
            quantile_ms(&figures.latency, 0.5),
            quantile_ms(&figures.latency, 0.99),
            quantile_ms(&figures.latency, 0.999),
            figures.served,
            figures.unserved,
            figures.bad_responses
        );
    }
    text + "Usual clients send 100 queries a second over HTTP/1.1, whose parts take 30 ms. Beside them, 300 clients send\n\
         requests that are costly to read or to decode, each again as soon as it is answered.\n"
}
