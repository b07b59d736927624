//! The states of the model and the events between them.

use crate::parameters::{LAST_STEP, PROXIES, SERVER_LIMIT, STEP, TIMES};
use crate::proxy::{ProxyState, SentMessage};
use broker_types::server::NodeId;
use broker_types::time::Timestamp;
use endpoint_control::ProxyName;
use endpoint_control::leases::{LeaseRequest, LeaseTable};
use stateright::{Model, Property};

pub(crate) const LIMIT_IS_KEPT: &str = "requests in flight never exceed the server limit";
const LIMIT_IS_USED: &str = "the whole server limit is used";
const LEASE_MOVES: &str = "the whole server limit moves from one proxy to the other";

/// A state of the model: the time, the leases of the control instance, and the proxies.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct State {
    now: Timestamp,
    leases: LeaseTable,
    proxies: Vec<ProxyState>,
}

/// An event of the model. Proxies are given by number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Action {
    /// Time advances by one step.
    Step,
    /// The control instance grants or renews a lease.
    Grant(usize),
    /// The control instance sends the message that revokes a lease.
    Revoke(usize),
    /// The proxy reads the next message.
    Read(usize),
    /// The proxy's acknowledgement arrives at the control instance.
    Acknowledge(usize),
    /// The proxy's stream ends.
    Disconnect(usize),
    /// The proxy begins a new stream.
    Connect(usize),
}

/// The model of one control instance, two proxies and one server that is warming up.
pub(crate) struct LeaseModel {
    /// Whether the control instance has a fault that the check must find: it treats a lease as
    /// acknowledged as soon as the lease is sent, so it counts the time to live from then.
    pub(crate) counts_sent_as_acknowledged: bool,
}

fn server() -> NodeId {
    NodeId("s".into())
}

fn proxy_name(number: usize) -> ProxyName {
    ["a", "b"][number].into()
}

impl LeaseModel {
    /// Grants or renews a lease and sends it to the proxy. Returns false if no units are granted.
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
        if self.counts_sent_as_acknowledged {
            state.leases.on_acknowledged(state.now, &holder);
        }
        true
    }
}

impl State {
    fn step(&mut self) {
        self.now = self.now + STEP;
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
            Some(SentMessage::Revocation) => {
                self.leases.on_released(self.now, &server(), &holder);
            }
            None => {}
        }
    }

    fn revoke(&mut self, number: usize) {
        let proxy = &mut self.proxies[number];
        proxy.unread_limits.push_back(0);
        proxy.unacknowledged = Some(SentMessage::Revocation);
    }

    /// Returns the number of requests that all proxies together may have in flight.
    fn max_in_flight(&self) -> u32 {
        let limits = self.proxies.iter().map(|p| p.max_in_flight(self.now));
        limits.sum()
    }

    /// Returns whether the proxies use the whole limit, either half each or the first proxy alone.
    /// The second proxy alone is not considered: the proxies are alike, and the property requires
    /// only one state in which the whole limit is used.
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
            now: Timestamp::ORIGIN,
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
