//! The command `query-broker demo`: runs a broker and test doubles of data servers in one process,
//! without any configuration files.

use crate::cli::DemoArguments;
use crate::configuration::{Configuration, ConfigurationError};
use crate::serve::{run_with, startup_failed};
use broker::event_loop::ListenAddresses;
use broker::operator::OperatorConfig;
use std::io::Write;
use std::net::SocketAddr;
use std::process::ExitCode;
use test_fleet::{Deployment, Fleet, FleetPlan};

/// Starts test doubles of data servers, and runs a broker for them until Ctrl-C.
pub(crate) fn run(arguments: &DemoArguments) -> ExitCode {
    // The log is set up before the fleet starts, so that an error while it starts is logged too.
    logging::init(logging::Format::Logfmt, tracing::Level::INFO);
    let plan = FleetPlan {
        servers: arguments.servers.into(),
        ..FleetPlan::default()
    };
    let fleet = match Fleet::start(plan) {
        Ok(fleet) => fleet,
        Err(error) => return startup_failed(&error),
    };
    let servers = fleet.servers().len();
    run_with(
        || configuration(arguments, &fleet),
        |addresses| print_welcome(servers, &addresses),
    )
}

/// Returns the configuration of a broker for this fleet, with both listeners and the batch window.
fn configuration(
    arguments: &DemoArguments,
    fleet: &Fleet,
) -> Result<Configuration, ConfigurationError> {
    let listen = arguments.listen.to_string();
    let platform = Deployment::default().configuration(fleet, &listen);
    let platform = platform_config::from_json(&platform, |_| None)?;
    let operator = format!("listen-http2 {}\ngather-time 5ms\n", arguments.http2);
    let operator = OperatorConfig::from_text("demo", &operator)?;
    Ok(Configuration { platform, operator })
}

/// Prints where the broker listens, and a command to send a query to each listener.
fn print_welcome(servers: usize, addresses: &ListenAddresses) {
    let ListenAddresses { http1, http2 } = *addresses;
    let mut text = format!(
        "\nThe broker is running with {servers} test doubles of data servers.\nTo send a query over HTTP/1.1 to {http1}:\n\n  {}",
        curl_command("", http1)
    );
    if let Some(http2) = http2 {
        text += &format!(
            "\nTo send a query over HTTP/2 to {http2}:\n\n  {}",
            curl_command("--http2-prior-knowledge ", http2)
        );
    }
    text += "\nPress Ctrl-C to stop.\n\n";
    let _ = std::io::stdout().write_all(text.as_bytes());
}

/// Returns a shell command that sends a query of two parts with a new request id.
fn curl_command(options: &str, address: SocketAddr) -> String {
    format!(
        "curl -sS {options}http://{address}/lookup -H \"X-Request-Id: demo-$(date +%s%N)\" -H 'X-Tenant: public-site' \
         -d '{{\"ranges\":[{{\"range\":0,\"portion\":0.5}},{{\"range\":5,\"portion\":0.5}}],\"predicate\":\"c41e77d0\"}}'\n"
    )
}
