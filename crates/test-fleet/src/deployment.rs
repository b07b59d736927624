//! The configuration of a broker beside a fleet.

use crate::Fleet;
use serde_json::{Value, json};

/// The figures of a deployment that differ between tests.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    /// Number of cells of the fleet.
    pub cells: usize,
    /// Number of shards; each cell holds every n-th, where n is the number of cells.
    pub shards: usize,
    /// Largest number of queries and parts in flight.
    pub max_in_flight: usize,
    /// Largest number of parts in a call.
    pub max_parts_per_call: usize,
    /// Time between the broker's ticks, in milliseconds.
    pub tick_interval_ms: f64,
    /// Largest number of file descriptors that the broker may use for sockets.
    pub max_sockets: usize,
    /// Memory that the broker may use, in megabytes.
    pub memory_limit_mb: usize,
    /// Latency objective of all classes, in milliseconds.
    pub latency_objective_ms: f64,
    /// Time after which clients of all classes give up, in milliseconds.
    pub client_timeout_ms: f64,
}

impl Default for Deployment {
    fn default() -> Self {
        Deployment {
            cells: 1,
            shards: 8,
            max_in_flight: 1000,
            max_parts_per_call: 4,
            tick_interval_ms: 5.0,
            max_sockets: 1024,
            memory_limit_mb: 192,
            latency_objective_ms: 1500.0,
            client_timeout_ms: 4000.0,
        }
    }
}

impl Deployment {
    /// The settings of the decisions, in the platform's format.
    #[must_use]
    pub fn settings(&self) -> Value {
        json!({
            "Allowed": {"Cancel": true, "DialTimeout": 250.0, "Keepalive": 15000.0, "MaxOpen": self.max_in_flight,
                "MaxRetryAfter": 2000.0, "Multiplex": 100, "Peers": false, "Probes": true, "RetryAfter": true,
                "SecondCopies": false, "SendCap": 4},
            "Clients": {"MarksRetry": true},
            "FamilyInfo": {"Batch": self.max_parts_per_call, "Call": 1.0, "ClassNeed": [1.0, 1.0, 1.0],
                "FetchParts": [0, 0, 0], "MinShare": [1.0, 1.0, 0.7], "PartialEarns": [0.9, 0.9, 0.9],
                "Positions": self.cells, "Shards": self.shards, "Width": 1},
            "MembershipMode": "pushed", "OverShareWorth": 0.1, "PeersTotal": 1,
            "Projects": [{"Name": "public-site", "QuotaPerS": 100_000.0, "Share": 1.0}],
            "Rules": {"AskWithin": 10000.0, "Cold": 16000.0, "ColdFrom": 0.18, "Fall": 1000.0, "FallMultiple": 2.5},
            "Services": [self.service("lookup", 1.0, "repeatable"), self.service("watchlist-save", 1.0, "by_key"),
                self.service("ranking", 2.0, "repeatable")],
            "Tick": self.tick_interval_ms, "WorthBy": "request", "Zones": ["z"]
        })
    }

    /// The whole configuration of a broker beside this fleet that listens on this address, in the platform's format.
    #[must_use]
    pub fn configuration(&self, fleet: &Fleet, listen: &str) -> Value {
        json!({"name": "test-double", "listen": listen, "discovery": fleet.discovery_address.to_string(),
            "seed": "8c1f30d27a5be964",
            "limits": {"sockets": self.max_sockets, "memory_mb": self.memory_limit_mb},
            "known": fleet.initial_endpoint_list(), "settings": self.settings()})
    }

    /// A class of queries in the platform's format; times are in milliseconds.
    fn service(&self, name: &str, gain: f64, semantics: &str) -> Value {
        json!({"Name": name, "Aim": self.latency_objective_ms, "GiveUp": self.client_timeout_ms, "Gain": gain,
            "LateWorth": 0.3, "Semantics": semantics, "MemorySpan": 5000.0})
    }
}
