//! What the module holds of each server, to be read by whoever hands its decisions on; and what others saw,
//! in bulk.
//!
//! Nothing here decides anything: reports go through the same records as the module's own attempts.

use crate::aggregator::Aggregator;
use crate::api::*;
use crate::state::{ClassState, InFlightAttempt, Server};

/// Most attempts that one report stands for. Health is a matter of shares and of failures in a row: what a
/// thousand attempts say beyond this is no news, and would drown what others report.
const SAMPLES: u64 = 8;

/// One server as the module sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerView {
    /// The server.
    pub node: NodeId,
    /// Its cell.
    pub cell: usize,
    /// Its zone.
    pub zone: Option<usize>,
    /// Its state in the list.
    pub state: ServingState,
    /// Until when it is passed over for its failures, or since it is full.
    pub ejected_until: Option<Ms>,
    /// When it started, if it may still be cold.
    pub cold_since: Option<Ms>,
    /// Time until an answer per work out there, against the fleet's: 1 is usual.
    pub pace: f64,
    /// Share of failures of late.
    pub errors: f64,
}

/// What others saw at a server over some time, as a load report tells it.
#[derive(Clone, Debug)]
pub struct Bulk {
    /// The server.
    pub node: NodeId,
    /// Attempts that were served.
    pub served: u64,
    /// Attempts that ended in an error.
    pub errors: u64,
    /// Attempts that met no connection, or lost it.
    pub lost: u64,
    /// Mean time of those that were served; `None`: not told.
    pub elapsed: Option<Ms>,
}

/// One class as the module sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassView {
    /// Rows that its queries touch.
    pub rows: f64,
    /// Work of one of its parts.
    pub unit: Ms,
    /// How much longer than forecast its queries take.
    pub lag: Ms,
}

impl Aggregator {
    /// All classes, in their order.
    pub fn class_views(&self) -> Vec<ClassView> {
        let view = |class: &ClassState| ClassView {
            rows: class.fanout.rows,
            unit: class.part_cost,
            lag: class.forecast_error,
        };
        self.classes.iter().map(view).collect()
    }

    /// Time until an answer per work out at a server, over the fleet.
    pub fn usual_pace(&self) -> f64 {
        self.fleet_latency_per_work
    }

    /// All servers that the list names, by name. Those that are gone are left out.
    pub fn views(&self, now: Ms) -> Vec<ServerView> {
        let fleet = &self.fleet;
        let view = |s: &Server| ServerView {
            node: s.node.clone(),
            cell: s.cell,
            zone: s.zone,
            state: s.state,
            ejected_until: (s.ejected_until > now).then_some(s.ejected_until),
            cold_since: s
                .warming_since
                .filter(|since| since + self.settings.warm_up.duration > now),
            pace: s.latency_per_work / self.fleet_latency_per_work.max(1e-9),
            errors: s.error_rate,
        };
        let servers = fleet.by_name.values().map(|i| &fleet.servers[*i]);
        servers
            .filter(|s| s.state != ServingState::Removed)
            .map(view)
            .collect()
    }

    /// Takes what others saw since the last report, as a few attempts in the same proportion: failures first,
    /// so that the answers beside them tell of a server that is up.
    pub fn report_bulk(&mut self, now: Ms, class: ClassIndex, reports: &[Bulk]) {
        let Some(state) = self.classes.get(class.0) else {
            return;
        };
        let work = state.part_cost.max(1.0);
        self.now = now;
        for r in reports {
            let Some(&server) = self.fleet.by_name.get(&r.node) else {
                continue;
            };
            let all = r.served + r.errors + r.lost;
            let of = |n: u64| {
                if all <= SAMPLES {
                    n
                } else {
                    (n * SAMPLES).div_ceil(all)
                }
            };
            let usual = work * self.fleet_latency_per_work;
            let ends = [
                (Outcome::ConnectionLost, r.lost),
                (Outcome::Error, r.errors),
                (Outcome::Served, r.served),
            ];
            for (outcome, n) in ends {
                for _ in 0..of(n) {
                    let elapsed = r.elapsed.unwrap_or(usual);
                    let sent = now - elapsed.min(usual);
                    let attempt = InFlightAttempt {
                        server,
                        class: class.0,
                        work: 0.0,
                        work_ahead: work,
                        sent_at: sent,
                        expected_latency: usual,
                    };
                    self.on_outcome(&attempt, outcome, elapsed);
                }
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn aggregator() -> Aggregator {
        let class = Class {
            latency_objective: 1000.0,
            client_timeout: 4000.0,
            priority_weight: 1.0,
            late_weight: 0.0,
            retry_safety: RetrySafety::Idempotent,
            required_share: 1.0,
            minimum_share: 1.0,
            partial_weight: 0.0,
            has_second_step: false,
        };
        let settings = Settings {
            classes: vec![class],
            tenants: vec![],
            aggregators: 1,
            zone: None,
            over_quota_weight: 1.0,
            weight_by_work: false,
            marks_retries: false,
            cells: 2,
            replica_cells: 1,
            shards: 2,
            max_parts_per_call: 4,
            call_cost: 1.0,
            max_attempts: 4,
            hedging: false,
            cancellation: true,
            max_retry_after: None,
            gossip: false,
            tick: 5.0,
            list_source: EndpointListSource::Pushed,
            list_poll_deadline: 10_000.0,
            retry_budget: None,
            warm_up: WarmUp {
                initial_capacity: 0.2,
                duration: 10_000.0,
                overload_factor: 2.5,
                overload_window: 1000.0,
            },
        };
        let mut aggregator = Aggregator::new(settings, 7);
        let member = |n: usize, state, started| Endpoint {
            node: NodeId(format!("s{n}").into()),
            cell: n % 2,
            state,
            zone: Some(n),
            started,
        };
        let members = vec![
            member(0, ServingState::Serving, None),
            member(1, ServingState::Serving, Some(100.0)),
            member(2, ServingState::Draining, None),
            member(3, ServingState::Removed, None),
        ];
        aggregator.on_batch(
            200.0,
            vec![Event::EndpointList {
                update: ListUpdate::Snapshot,
                endpoints: members,
            }],
        );
        aggregator
    }

    fn bulk(n: usize, served: u64, errors: u64, lost: u64) -> Bulk {
        Bulk {
            node: NodeId(format!("s{n}").into()),
            served,
            errors,
            lost,
            elapsed: Some(10.0),
        }
    }

    #[test]
    fn views_tell_what_the_list_and_the_clock_say() {
        let aggregator = aggregator();
        let seen: Vec<_> = aggregator
            .views(200.0)
            .into_iter()
            .map(|v| (v.cell, v.state, v.cold_since))
            .collect();
        let expected = [
            (0, ServingState::Serving, None),
            (1, ServingState::Serving, Some(100.0)),
            (0, ServingState::Draining, None),
        ];
        assert_eq!(seen, expected);
        assert_eq!(
            aggregator.views(10_100.0)[1].cold_since,
            None,
            "it is warm by now"
        );
    }

    #[test]
    fn what_others_saw_ejects_a_server_as_own_attempts_would_and_its_recovery_shows() {
        let mut aggregator = aggregator();
        let class = ClassIndex(0);
        aggregator.report_bulk(
            1000.0,
            class,
            &[bulk(0, 0, 500, 0), bulk(1, 500, 1, 0), bulk(9, 0, 5, 0)],
        );
        let views = aggregator.views(1001.0);
        assert!(
            views[0].ejected_until.is_some() && views[1].ejected_until.is_none(),
            "{views:?}"
        );
        assert!(views[0].errors > 0.4 && views[1].errors < 0.2, "{views:?}");
        aggregator.report_bulk(9000.0, class, &[bulk(0, 500, 0, 0)]);
        assert!(aggregator.views(9001.0)[0].errors < 0.2);
        aggregator.report_bulk(9002.0, ClassIndex(7), &[bulk(0, 1, 1, 1)]);
    }
}
