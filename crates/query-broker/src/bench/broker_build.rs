//! The build of the broker that is measured, and the processes that are started for a measurement.

use super::error::BenchError;
use std::net::SocketAddr;
use std::path::PathBuf;
use test_fleet::{BrokerProcess, Deployment, Fleet, FleetPlan};

/// Maximum number of queries and parts in flight, counted together. No measurement reaches it.
const MAX_IN_FLIGHT: usize = 20_000;

/// The broker's memory limit in MB. No measurement reaches it.
const MEMORY_LIMIT_MB: usize = 1024;

/// The listeners of a build.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Listeners {
    /// HTTP/1.1 only. Builds that lack HTTP/2 also lack the batch window.
    Http1Only,
    /// Both HTTP/1.1 and HTTP/2.
    Http1AndHttp2,
}

/// What determines the time between two iterations of the broker's event loop.
#[derive(Clone, Copy, Debug)]
pub(super) enum Pacing {
    /// The iterations are at least one tick apart, which is the default without an operator's file.
    /// The tick is a setting of the platform; the default [`Deployment`] sets it to 5 ms.
    Ticks,
    /// Each iteration waits for the batch window (`gather-time` in the operator's file) to gather
    /// events.
    BatchWindow,
}

impl Pacing {
    /// Returns the name of the pacing in the printed figures.
    pub(super) fn name(self) -> &'static str {
        match self {
            Pacing::Ticks => "ticks",
            Pacing::BatchWindow => "gather",
        }
    }
}

/// The build that is measured.
pub(super) struct BrokerBuild {
    /// Path of the build's executable.
    pub(super) executable: PathBuf,
    /// The listeners that the build supports.
    pub(super) listeners: Listeners,
}

/// A running broker of the build, and the fleet of test doubles that it calls.
pub(super) struct Testbed {
    pub(super) fleet: Fleet,
    pub(super) broker: BrokerProcess,
}

impl BrokerBuild {
    /// Starts a fleet, and a broker for it with all listeners that the build supports.
    ///
    /// # Errors
    ///
    /// The fleet or the broker cannot be started.
    pub(super) fn start(&self, plan: FleetPlan, pacing: Pacing) -> Result<Testbed, BenchError> {
        let deployment = Deployment {
            max_in_flight: MAX_IN_FLIGHT,
            memory_limit_mb: MEMORY_LIMIT_MB,
            ..Deployment::default()
        };
        let fleet = Fleet::start(plan)?;
        let operator_config = self.operator_config(pacing);
        let broker = BrokerProcess::start(&self.executable, deployment, &fleet, &operator_config)?;
        Ok(Testbed { fleet, broker })
    }

    /// Returns the contents of the operator's file.
    fn operator_config(&self, pacing: Pacing) -> String {
        let mut text = String::new();
        if self.listeners == Listeners::Http1AndHttp2 {
            // No measurement has more than 400 queries in flight on one connection.
            text += "listen-http2 127.0.0.1:0\nhttp2-streams 400\n";
        }
        match pacing {
            Pacing::Ticks => {}
            Pacing::BatchWindow => text += "gather-time 5ms\n",
        }
        text
    }
}

/// Returns the address of a broker's HTTP/2 listener.
///
/// # Errors
///
/// The broker has no HTTP/2 listener.
pub(super) fn http2_address(broker: &BrokerProcess) -> Result<SocketAddr, BenchError> {
    broker.http2.ok_or(BenchError::NoHttp2Listener)
}
