//! The build that is measured, and how it is started.

use super::error::BenchError;
use std::net::SocketAddr;
use std::path::PathBuf;
use test_fleet::{BrokerProcess, Deployment, Fleet, FleetPlan};

/// Most queries and parts in flight: more than any measurement has.
const MAX_IN_FLIGHT: usize = 20_000;

/// The broker's memory limit: more than any measurement needs.
const MEMORY_LIMIT_MB: usize = 1024;

/// The listeners of a build.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Listeners {
    /// HTTP/1.1 only, as in builds from before HTTP/2 and the batch window.
    Http1Only,
    /// HTTP/1.1 and HTTP/2.
    Http1AndHttp2,
}

/// How the broker's iterations are paced in a measurement.
#[derive(Clone, Copy, Debug)]
pub(super) enum Pacing {
    /// A tick apart, as without an operator's file.
    Ticks,
    /// By the batch window, with `gather-time`.
    BatchWindow,
}

impl Pacing {
    /// The name in the figures.
    pub(super) fn name(self) -> &'static str {
        match self {
            Pacing::Ticks => "ticks",
            Pacing::BatchWindow => "gather",
        }
    }
}

/// The build that is measured.
pub(super) struct BrokerBuild {
    /// Its executable.
    pub(super) executable: PathBuf,
    /// Its listeners.
    pub(super) listeners: Listeners,
}

/// A broker of the build, with a fleet of its own.
pub(super) struct Testbed {
    pub(super) fleet: Fleet,
    pub(super) broker: BrokerProcess,
}

impl BrokerBuild {
    /// Starts a fleet, and a broker with all listeners that the build has.
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

    fn operator_config(&self, pacing: Pacing) -> String {
        let mut text = String::new();
        if self.listeners == Listeners::Http1AndHttp2 {
            text += "listen-http2 127.0.0.1:0\nhttp2-streams 400\n";
        }
        match pacing {
            Pacing::Ticks => {}
            Pacing::BatchWindow => text += "gather-time 5ms\n",
        }
        text
    }
}

/// Where a broker listens for HTTP/2.
pub(super) fn http2_address(broker: &BrokerProcess) -> Result<SocketAddr, BenchError> {
    broker.http2.ok_or(BenchError::NoHttp2Listener)
}
