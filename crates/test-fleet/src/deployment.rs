//! The configuration of a broker that uses the services of a fleet.

use crate::Fleet;
use crate::wire::{
    ClassWire, ClientsWire, DataLayoutWire, EndpointListSourceWire, LimitsWire, PermissionsWire,
    PlatformFileWire, RetrySafetyWire, RulesWire, SettingsWire, TenantWire, WeightBasisWire,
};
use serde_json::{Value, json};

/// Settings of a deployment that tests and benchmarks change. All other settings are fixed; hedged
/// requests and gossip are not allowed.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    /// Number of cells of the fleet.
    pub cells: usize,
    /// Number of shards. With n cells, each cell holds every n-th shard.
    pub shards: usize,
    /// Maximum number of queries and parts in flight, counted together.
    pub max_in_flight: usize,
    /// Maximum number of parts in a call.
    pub max_parts_per_call: usize,
    /// Time between two ticks of the broker, in milliseconds.
    pub tick_interval_ms: f64,
    /// Maximum number of file descriptors that the broker may use for sockets.
    pub max_sockets: usize,
    /// Maximum memory that the broker may use, in megabytes.
    pub memory_limit_mb: usize,
    /// Latency objective of each class, in milliseconds.
    pub latency_objective_ms: f64,
    /// Time after which clients abandon a query of any class, in milliseconds.
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
    /// Returns the settings of the broker's policy, in the format of the platform file.
    #[must_use]
    pub fn settings(&self) -> Value {
        json!(self.settings_wire())
    }

    /// Returns the contents of the platform file for a broker that uses `fleet` and listens on the
    /// address `listen`.
    #[must_use]
    pub fn configuration(&self, fleet: &Fleet, listen: &str) -> Value {
        json!(PlatformFileWire {
            name: "test-double",
            listen,
            discovery: fleet.discovery_address.to_string(),
            seed: "8c1f30d27a5be964",
            limits: LimitsWire {
                sockets: self.max_sockets,
                memory_mb: self.memory_limit_mb,
            },
            cached_endpoints: fleet.initial_endpoint_list().clone(),
            settings: self.settings_wire(),
        })
    }

    fn settings_wire(&self) -> SettingsWire {
        SettingsWire {
            permissions: self.permissions(),
            clients: ClientsWire {
                marks_retries: true,
            },
            data_layout: self.data_layout(),
            list_source: EndpointListSourceWire::Pushed,
            over_quota_weight: 0.1,
            aggregators: 1,
            tenants: vec![TenantWire {
                name: "public-site",
                quota_per_s: 100_000.0,
                share: 1.0,
            }],
            rules: RulesWire {
                list_poll_deadline_ms: 10_000.0,
                warm_up_ms: 16_000.0,
                initial_capacity: 0.18,
                overload_window_ms: 1000.0,
                overload_factor: 2.5,
            },
            classes: vec![
                self.class("lookup", 1.0, RetrySafetyWire::Idempotent),
                self.class("watchlist-save", 1.0, RetrySafetyWire::IdempotencyKey),
                self.class("ranking", 2.0, RetrySafetyWire::Idempotent),
            ],
            tick_ms: self.tick_interval_ms,
            weight_basis: WeightBasisWire::Request,
            zones: vec!["z"],
        }
    }

    fn permissions(&self) -> PermissionsWire {
        PermissionsWire {
            cancellation: true,
            dial_timeout_ms: 250.0,
            idle_timeout_ms: 15_000.0,
            max_in_flight: self.max_in_flight,
            max_retry_after_ms: 2000.0,
            max_parts_per_connection: 100,
            gossip: false,
            load_probes: true,
            retry_after: true,
            hedging: false,
            max_attempts: 4,
        }
    }

    fn data_layout(&self) -> DataLayoutWire {
        DataLayoutWire {
            max_parts_per_call: self.max_parts_per_call,
            call_cost_ms: 1.0,
            required_shares: vec![1.0, 1.0, 1.0],
            second_step_parts: vec![0, 0, 0],
            minimum_shares: vec![1.0, 1.0, 0.7],
            partial_weights: vec![0.9, 0.9, 0.9],
            cells: self.cells,
            shards: self.shards,
            replica_cells: 1,
        }
    }

    fn class(
        &self,
        name: &'static str,
        priority_weight: f64,
        retry_safety: RetrySafetyWire,
    ) -> ClassWire {
        ClassWire {
            name,
            latency_objective_ms: self.latency_objective_ms,
            client_timeout_ms: self.client_timeout_ms,
            priority_weight,
            late_weight: 0.3,
            retry_safety,
            idempotency_window_ms: 5000.0,
        }
    }
}
