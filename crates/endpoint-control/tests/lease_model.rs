//! A model of two proxies and one server that is warming up, checked for all orders of events: messages that are read
//! late, streams that end, and proxies that connect again. The requests that the proxies together may have in flight
//! never exceed the limit of the server.

use broker_types::server::NodeId;
use endpoint_control::ProxyName;
use endpoint_control::leases::{LeaseRequest, LeaseTable, LeaseTimes};
use stateright::{Checker, Model, Property};
use std::collections::VecDeque;

/// A moment of the model, which counts in steps.
type Step = u64;

const TIMES: LeaseTimes = LeaseTimes {
    time_to_live: 1,
    max_request_duration: 1,
    max_pause: 1,
};
const PROXIES: usize = 2;
/// Requests that the server may have in flight.
const SERVER_LIMIT: u32 = 2;
/// The model ends at this step.
const LAST_STEP: Step = 6;

const LIMIT_IS_KEPT: &str = "no more is in flight than the limit";
const LIMIT_IS_USED: &str = "the whole limit is used";
const LEASE_MOVES: &str = "a lease moves to the other proxy";

/// A message of the control instance that the proxy has not acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum SentMessage {
    Lease,
    Release,
}

/// Requests under an earlier limit that may still be in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct RemainingRequests {
    units: u32,
    until: Step,
}

/// A proxy and its stream from the control instance.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ProxyState {
    connected: bool,
    /// Limits that were sent to the proxy and not read, in order.
    unread_limits: VecDeque<u32>,
    /// When its last stream ended. It reads what was sent before within the longest pause, or never.
    stream_ended_at: Option<Step>,
    /// The limit that it uses.
    limit: u32,
    /// Until when it uses the limit.
    limit_until: Step,
    remaining_requests: Vec<RemainingRequests>,
    /// Whether an acknowledgement is on its way to the control instance.
    acknowledgement_sent: bool,
    unacknowledged: Option<SentMessage>,
    /// Whether it ever held the whole limit.
    held_whole_limit: bool,
}

impl ProxyState {
    fn connected() -> Self {
        ProxyState {
            connected: true,
            unread_limits: VecDeque::new(),
            stream_ended_at: None,
            limit: 0,
            limit_until: 0,
            remaining_requests: Vec::new(),
            acknowledgement_sent: false,
            unacknowledged: None,
            held_whole_limit: false,
        }
    }

    /// The largest number of requests that it may have in flight at this moment.
    fn max_in_flight(&self, now: Step) -> u32 {
        let current = if now < self.limit_until {
            self.limit
        } else {
            0
        };
        // One limit holds for all requests in flight: a larger earlier one is not added to the current one.
        self.remaining_requests
            .iter()
            .filter(|remaining| now < remaining.until)
            .map(|remaining| remaining.units)
            .max()
            .unwrap_or(0)
            .max(current)
    }

    fn can_read(&self, now: Step) -> bool {
        let is_readable = |ended_at: Step| now <= ended_at + TIMES.max_pause;
        !self.unread_limits.is_empty() && self.stream_ended_at.is_none_or(is_readable)
    }

    /// Reads the next limit and uses it in place of its current one.
    fn read(&mut self, now: Step) {
        let Some(limit) = self.unread_limits.pop_front() else {
            return;
        };
        if self.limit > 0 {
            self.stop_using_limit(now.min(self.limit_until));
        }
        self.remaining_requests
            .retain(|remaining| now < remaining.until);
        // States that differ only in the order of equal remaining requests are one state.
        self.remaining_requests.sort_unstable();
        self.remaining_requests.dedup();
        self.limit = limit;
        self.held_whole_limit |= limit == SERVER_LIMIT;
        self.limit_until = if limit > 0 {
            now + TIMES.time_to_live
        } else {
            0
        };
        if self.connected {
            self.acknowledgement_sent = true;
        }
    }

    fn stop_using_limit(&mut self, stopped_at: Step) {
        self.remaining_requests.push(RemainingRequests {
            units: self.limit,
            until: stopped_at + TIMES.max_request_duration,
        });
    }

    fn on_step(&mut self, now: Step) {
        if self.limit > 0 && self.limit_until <= now {
            self.stop_using_limit(self.limit_until);
            (self.limit, self.limit_until) = (0, 0);
        }
        self.remaining_requests
            .retain(|remaining| now < remaining.until);
        let is_lost = |ended_at: Step| now > ended_at + TIMES.max_pause;
        if self.stream_ended_at.is_some_and(is_lost) {
            self.unread_limits.clear();
            // When it ended no longer matters: such states are one state.
            self.stream_ended_at = Some(0);
        }
    }

    fn disconnect(&mut self, now: Step) {
        self.connected = false;
        self.stream_ended_at = Some(now);
        self.acknowledgement_sent = false;
        self.unacknowledged = None;
    }

    /// Begins a new stream; what was not read from the last one is dropped with it.
    fn connect(&mut self) {
        self.connected = true;
        self.stream_ended_at = None;
        self.unread_limits.clear();
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: Step,
    leases: LeaseTable,
    proxies: Vec<ProxyState>,
}

/// What can happen next. Proxies are given by number.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Action {
    /// Time passes.
    Step,
    /// The control instance grants or renews a lease.
    Grant(usize),
    /// The control instance takes a lease back.
    Revoke(usize),
    /// The proxy reads a message.
    Read(usize),
    /// The proxy's acknowledgement arrives.
    Acknowledge(usize),
    /// The proxy's stream ends.
    Disconnect(usize),
    /// The proxy begins a new stream.
    Connect(usize),
}

struct LeaseModel {
    /// A fault that the check has to find: leases count as acknowledged once they are sent.
    acknowledges_when_sent: bool,
}

fn server() -> NodeId {
    NodeId("s".into())
}

fn proxy_name(number: usize) -> ProxyName {
    ["a", "b"][number].into()
}

impl LeaseModel {
    /// Grants or renews a lease; false if no units are granted.
    fn grant(&self, state: &mut State, number: usize) -> bool {
        let holder = proxy_name(number);
        let request = LeaseRequest {
            server: &server(),
            holder: &holder,
            wanted_units: SERVER_LIMIT,
            server_limit: SERVER_LIMIT,
        };
        let units = state.leases.grant(state.now, request);
        if units == 0 {
            return false;
        }
        let proxy = &mut state.proxies[number];
        proxy.unread_limits.push_back(units);
        proxy.unacknowledged = Some(SentMessage::Lease);
        if self.acknowledges_when_sent {
            state.leases.on_acknowledged(state.now, &holder);
        }
        true
    }
}

impl State {
    fn step(&mut self) {
        self.now += 1;
        self.leases.expire(self.now);
        for proxy in &mut self.proxies {
            proxy.on_step(self.now);
        }
    }

    fn acknowledge(&mut self, number: usize) {
        let proxy = &mut self.proxies[number];
        proxy.acknowledgement_sent = false;
        let holder = proxy_name(number);
        match proxy.unacknowledged.take() {
            Some(SentMessage::Lease) => self.leases.on_acknowledged(self.now, &holder),
            Some(SentMessage::Release) => self.leases.on_released(self.now, &server(), &holder),
            None => {}
        }
    }

    fn revoke(&mut self, number: usize) {
        let proxy = &mut self.proxies[number];
        proxy.unread_limits.push_back(0);
        proxy.unacknowledged = Some(SentMessage::Release);
    }

    /// Requests that all proxies together may have in flight.
    fn max_in_flight(&self) -> u32 {
        let limits = self.proxies.iter().map(|p| p.max_in_flight(self.now));
        limits.sum()
    }

    fn whole_limit_is_used(&self) -> bool {
        let used = |number: usize| self.proxies[number].max_in_flight(self.now);
        (0..PROXIES).all(|number| used(number) == SERVER_LIMIT / 2) || used(0) == SERVER_LIMIT
    }
}

impl Model for LeaseModel {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        vec![State {
            now: 0,
            leases: LeaseTable::new(TIMES),
            proxies: vec![ProxyState::connected(); PROXIES],
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.now < LAST_STEP {
            actions.push(Action::Step);
        }
        for (number, proxy) in state.proxies.iter().enumerate() {
            if proxy.connected && proxy.unacknowledged.is_none() {
                actions.push(Action::Grant(number));
                if state.leases.held_units(&server(), &proxy_name(number)) > 0 {
                    actions.push(Action::Revoke(number));
                }
            }
            if proxy.can_read(state.now) {
                actions.push(Action::Read(number));
            }
            if proxy.connected && proxy.acknowledgement_sent {
                actions.push(Action::Acknowledge(number));
            }
            actions.push(if proxy.connected {
                Action::Disconnect(number)
            } else {
                Action::Connect(number)
            });
        }
    }

    fn next_state(&self, before: &State, action: Action) -> Option<State> {
        let mut state = before.clone();
        let now = state.now;
        match action {
            Action::Step => state.step(),
            Action::Grant(number) => {
                if !self.grant(&mut state, number) {
                    return None;
                }
            }
            Action::Revoke(number) => state.revoke(number),
            Action::Read(number) => state.proxies[number].read(now),
            Action::Acknowledge(number) => state.acknowledge(number),
            Action::Disconnect(number) => {
                state.proxies[number].disconnect(now);
                state.leases.on_stream_ended(now, &proxy_name(number));
            }
            Action::Connect(number) => state.proxies[number].connect(),
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(LIMIT_IS_KEPT, |_, state: &State| {
                state.max_in_flight() <= SERVER_LIMIT
            }),
            Property::sometimes(LIMIT_IS_USED, |_, state: &State| {
                state.whole_limit_is_used()
            }),
            Property::sometimes(LEASE_MOVES, |_, state: &State| {
                state.proxies[0].held_whole_limit && state.proxies[1].limit == SERVER_LIMIT
            }),
        ]
    }
}

/// Goes through all states of the model.
fn check(model: LeaseModel) -> impl Checker<LeaseModel> {
    model.checker().threads(2).spawn_bfs().join()
}

#[test]
fn limit_is_kept_in_any_order_of_events() {
    let checker = check(LeaseModel {
        acknowledges_when_sent: false,
    });
    checker.assert_properties();
    let states = checker.unique_state_count();
    eprintln!("{states} states");
    assert!(states > 10_000, "{states} states");
}

/// The check finds the fault that it is made for: a time to live that is counted from when the message was sent.
#[test]
fn time_to_live_counted_from_sending_breaks_the_limit() {
    let checker = check(LeaseModel {
        acknowledges_when_sent: true,
    });
    assert!(checker.discovery(LIMIT_IS_KEPT).is_some());
}
