//! The turn loop: takes what the sockets brought, asks the decisions, and carries them out.

use crate::clock::Clock;
use crate::discovery::Discovery;
use crate::event_queue::{Event, EventQueue};
use crate::listeners::{ClientListeners, ListenerConfig, ListenerContext};
use crate::operator::Operator;
use crate::queries::{Held, Queries};
use crate::upstream::{EndedAttempt, OutgoingAttempt, ServerPools};
use admission::resource_limits::{ClientResources, ListenerLimits, allocate};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use async_signal::{Signal, Signals};
use batch_window::BatchWindow;
use broker_types::query::{AttemptId, FinalResponse, PartIndex, QueryId};
use broker_types::server::{EndpointList, ListScope, NodeId, Outcome, ServingState};
use broker_types::time::{Micros, millis};
use futures_lite::future::yield_now;
use futures_lite::{FutureExt, StreamExt};
use platform_config::{self as config, Config};
use policy_engine::{
    AttemptReport, Decisions, Dispatch, FinishedQuery, PolicyEngine, QueryOutcome,
};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use tracing::{info, warn};

/// After a request to end, new connections are taken for this long: clients notice late.
const LEAVING: Micros = 600_000;

/// A configuration that cannot be read is read again after this: it may have been caught half written, and what it
/// names counts within seconds.
const REREAD: Micros = 1_000_000;

/// What the decisions go by is logged this often: seldom enough for a log of weeks.
const TELL_EVERY: Micros = 5_000_000;

/// One broker.
pub struct Broker {
    clock: Clock,
    zones: Vec<String>,
    tick: Micros,
    batch_window: BatchWindow,
    operator: Operator,
    /// What the platform gives to client connections.
    clients: ClientResources,
    core: PolicyEngine,
    upstream: ServerPools,
    discovery: Discovery,
    event_queue: Rc<EventQueue>,
    listeners: ClientListeners,
    queries: Queries,
    /// The turn's dispatches: they go out together at its end.
    dispatches: BTreeMap<AttemptId, Dispatch>,
    ended: Vec<EndedAttempt>,
    /// Queries that ended in this turn, and parts that came in.
    over: Vec<(QueryId, Option<PartIndex>)>,
    leaving_since: Option<Micros>,
    /// When to read the configuration again.
    reload_at: Option<Micros>,
    /// When to log next what the decisions go by.
    tell_at: Micros,
}

/// Catches the signals that the program heeds, from now on.
pub fn signals() -> io::Result<Signals> {
    Signals::new([Signal::Term, Signal::Int, Signal::Hup])
}

/// Limits of the listeners; the error names what does not fit.
fn limits(clients: ClientResources, operator: &Operator) -> io::Result<ListenerLimits> {
    allocate(clients, operator.http2()).map_err(io::Error::other)
}

/// Runs a broker until it is told to end; `started` is told where it listens, for HTTP/1.1 and HTTP/2.
pub fn run(
    config: Config,
    operator: Operator,
    mut signals: Signals,
    started: impl FnOnce(SocketAddr, Option<SocketAddr>),
) -> io::Result<()> {
    let executor = Rc::new(LocalExecutor::new());
    let event_queue = Rc::new(EventQueue::default());
    let clock = Clock::start();
    let limits = limits(config.clients, &operator)?;
    let bind = |address| Async::<TcpListener>::bind(address);
    let listener = bind(config.listen)?;
    let listen = listener.get_ref().local_addr()?;
    let http2 = operator
        .settings()
        .http2
        .map(|h| bind(h.listen))
        .transpose()?;
    let listen_http2 = http2
        .as_ref()
        .map(|l| l.get_ref().local_addr())
        .transpose()?;
    let signal_events = event_queue.clone();
    executor
        .spawn(async move {
            while let Some(signal) = signals.next().await {
                signal_events.push(if matches!(signal, Ok(Signal::Hup)) {
                    Event::ReloadRequested
                } else {
                    Event::ShutdownRequested
                });
            }
        })
        .detach();
    let listener_context = ListenerContext::new(
        event_queue.clone(),
        config.settings.clone(),
        config.names.clone(),
    );
    let listener_config = ListenerConfig {
        http1: listener,
        http2,
        limits,
    };
    let rev = config.cached_endpoints.revision;
    let tick = millis(config.settings.tick);
    let mut broker = Broker {
        clock,
        zones: config.names.zones,
        tick,
        batch_window: operator.batch_window(tick),
        operator,
        clients: config.clients,
        queries: Queries::new(&config.settings, config.max_in_flight),
        core: PolicyEngine::new(config.settings, config.max_in_flight, config.seed),
        upstream: ServerPools::new(executor.clone(), event_queue.clone(), clock, config.pool),
        discovery: Discovery::start(
            executor.clone(),
            event_queue.clone(),
            config.discovery,
            rev,
            config.seed,
        ),
        event_queue,
        listeners: ClientListeners::start(
            listener_context,
            listener_config,
            clock,
            executor.clone(),
        ),
        dispatches: BTreeMap::new(),
        ended: Vec::new(),
        over: Vec::new(),
        leaving_since: None,
        reload_at: None,
        tell_at: 0,
    };
    broker.learn(clock.now(), ListScope::Cached, &config.cached_endpoints);
    info!(name: "broker_started", name = %config.name, listen = %listen, revision = rev, servers = config.cached_endpoints.endpoints.len());
    if let (Some(listen), Some(held)) = (listen_http2, limits.http2) {
        let (max_connections, max_streams) = (held.max_connections, held.max_streams);
        info!(name: "http2_listener_started", listen = %listen, max_connections, max_streams);
    }
    started(listen, listen_http2);
    async_io::block_on(executor.run(async {
        broker.turns().await;
    }));
    info!(name: "broker_stopped", name = %config.name);
    Ok(())
}

impl Broker {
    /// One turn after another, until the program is to end and has nothing left to do.
    async fn turns(&mut self) {
        loop {
            let now = self.clock.now();
            self.turn(now);
            let leaving = self.leaving_since.map(|since| since + LEAVING);
            if leaving.is_some_and(|at| now >= at) {
                self.listeners.close().await;
                if self.listeners.open_connections() == 0 && self.queries.is_empty() {
                    return;
                }
            }
            let closing = self.listeners.is_closed().then_some(now + self.tick);
            let ended =
                (self.upstream.has_ended_attempts() || !self.ended.is_empty()).then_some(now);
            let due = [
                Some(self.core.next_deadline()),
                Some(self.upstream.next_deadline()),
                leaving.filter(|at| now < *at),
                self.reload_at,
                closing,
                ended,
            ];
            let due = due.into_iter().flatten().min().unwrap_or(Micros::MAX);
            self.pause(now, due).await;
        }
    }

    /// Waits for the next turn: for something to happen or the next moment that is due. What is due keeps a tick's
    /// distance; for what happened, the batch window says how long to gather.
    async fn pause(&self, now: Micros, due: Micros) {
        let due = due.clamp(now + self.tick, now + 1_000_000_000);
        let timer = async {
            Timer::at(self.clock.instant(due)).await;
        };
        self.event_queue.wait().or(timer).await;
        let next = self
            .batch_window
            .next_start(now, self.queries.len() + self.event_queue.pending_queries());
        if self.clock.now() < next {
            Timer::at(self.clock.instant(next)).await;
        } else {
            // What else the sockets hold by now comes along.
            yield_now().await;
        }
    }

    fn turn(&mut self, now: Micros) {
        let mut asks = Vec::new();
        for input in self.event_queue.drain() {
            match input {
                Event::QueryReceived {
                    id,
                    connection,
                    request: ask,
                    reply,
                } => asks.push((id, connection, ask, reply)),
                Event::ClientDisconnected { query: id } => {
                    asks.retain(|(ask, ..)| *ask != id);
                    self.core.abandon(id);
                    self.queries.gone(now, id);
                    self.over.push((id, None));
                }
                Event::ServerConnection { connection, event } => {
                    self.upstream.on_connection_event(now, connection, event)
                }
                Event::EndpointsUpdated(targets) => self.learn(now, targets.scope(), &targets),
                Event::ReloadRequested => self.reload_at = Some(now),
                Event::ShutdownRequested => self.terminate(now),
            }
        }
        if self.reload_at.take_if(|at| now >= *at).is_some() {
            self.reload(now);
        }
        let reports = self.take_reports(now);
        let decisions = self.core.on_attempts_ended(now, reports);
        self.carry_out(now, decisions);
        let admit =
            |(id, connection, ask, reply)| self.queries.admit(now, id, connection, ask, reply);
        let queries = asks.into_iter().filter_map(admit).collect();
        let decisions = self.core.submit(now, queries);
        self.carry_out(now, decisions);
        let decisions = self.core.poll(now);
        self.carry_out(now, decisions);
        for (query, part) in std::mem::take(&mut self.over) {
            self.upstream.cancel_unsent(now, query, part);
        }
        let sends = std::mem::take(&mut self.dispatches);
        let sends = sends
            .into_values()
            .filter_map(|d| self.send(now, d))
            .collect();
        self.upstream.send_attempts(now, sends);
        self.upstream.close_expired_connections(now);
        self.tell(now);
    }

    /// Says now and then what the decisions go by: a refusal on arrival can be traced to nothing else.
    fn tell(&mut self, now: Micros) {
        if now < self.tell_at {
            return;
        }
        self.tell_at = now + TELL_EVERY;
        let s = self.core.summary(now);
        info!(
            name: "policy_state_reported", in_flight = self.core.in_flight(), server_connections = self.upstream.open_connections(), serving = s.serving,
            ejected = s.ejected, warming_up = s.warming_up, latency_per_work = s.latency_per_work, slow = s.slow, touched_rows = %s.touched_rows,
            part_cost_ms = %s.part_cost_ms, forecast_error_ms = %s.forecast_error_ms
        );
    }

    /// Takes news of the list: the decisions and the pools learn of it in the same turn.
    fn learn(&mut self, now: Micros, scope: ListScope, targets: &EndpointList) {
        let servers = targets.servers(&self.zones, |ms| self.clock.at_unix_ms(ms));
        if scope != ListScope::Delta {
            let named: BTreeSet<&NodeId> = servers.iter().map(|s| &s.name).collect();
            for name in self
                .upstream
                .serving()
                .iter()
                .filter(|name| !named.contains(name))
            {
                self.upstream.set_endpoint(now, name.clone(), None);
            }
        }
        for (server, target) in servers.iter().zip(&targets.endpoints) {
            let endpoint = target
                .address
                .filter(|_| server.state == ServingState::Serving);
            self.upstream
                .set_endpoint(now, server.name.clone(), endpoint);
        }
        self.core.update_endpoints(scope, servers);
    }

    /// Takes the configuration and the operator's file as they are now: both or none. A file that is missing or
    /// faulty leaves all as it was: a slip of the pen must not end a broker that serves. It is read again later.
    fn reload(&mut self, now: Micros) {
        let read = || -> Result<_, String> {
            let config = config::reload(config::environment).map_err(|error| error.to_string())?;
            let settings = self.operator.reread()?;
            let mut operator = self.operator.clone();
            operator.adopt_quietly(&settings);
            let limits = allocate(self.clients, operator.http2()).map_err(|e| e.to_string())?;
            Ok((config.discovery, settings, limits))
        };
        match read() {
            Ok((discovery, settings, limits)) => {
                self.operator.adopt(&settings);
                self.batch_window = self.operator.batch_window(self.tick);
                self.listeners.set_limits(limits);
                info!(name: "configuration_reloaded", discovery = %discovery);
                self.discovery.move_to(discovery);
            }
            Err(error) => {
                warn!(name: "reload_failed", error = %error);
                self.reload_at = Some(now + REREAD);
            }
        }
    }

    fn terminate(&mut self, now: Micros) {
        if self.leaving_since.is_none() {
            info!(name: "shutdown_started", queries_in_flight = self.queries.len());
            self.leaving_since = Some(now);
            self.listeners.start_draining();
        }
    }

    /// What ended since the last turn, for the decisions; the values stay here, with their queries.
    fn take_reports(&mut self, now: Micros) -> Vec<AttemptReport> {
        let mut ended = std::mem::take(&mut self.ended);
        ended.extend(self.upstream.take_ended_attempts(now));
        let report = |mut e: EndedAttempt| {
            self.queries.ended(now, &mut e);
            if e.outcome == Outcome::Served {
                self.over.push((e.attempt.query, Some(e.attempt.part)));
            }
            AttemptReport {
                attempt: e.attempt,
                outcome: e.outcome,
                elapsed: e.elapsed,
                load: e.requests_in_flight,
            }
        };
        ended.into_iter().map(report).collect()
    }

    fn carry_out(&mut self, now: Micros, decisions: Decisions) {
        if decisions.over_capacity > 0 {
            warn!(name: "capacity_exhausted", queries = decisions.over_capacity, in_flight = self.core.in_flight());
        }
        if decisions.expired > 0 {
            warn!(name: "queries_expired", queries = decisions.expired);
        }
        for attempt in decisions.cancellations {
            if self.dispatches.remove(&attempt).is_some() {
                // Called off in the turn that asked for it.
                self.ended
                    .push(EndedAttempt::unsent(attempt, Outcome::NotSent));
            } else {
                self.upstream.cancel(now, attempt);
            }
        }
        for FinishedQuery { query, outcome } in decisions.finished {
            self.finish(now, query, outcome);
        }
        self.dispatches
            .extend(decisions.dispatches.into_iter().map(|d| (d.attempt, d)));
    }

    fn finish(&mut self, now: Micros, query: QueryId, outcome: QueryOutcome) {
        self.over.push((query, None));
        self.queries.finish(now, query, |values| match outcome {
            QueryOutcome::Rejected { retry_after } => FinalResponse::Rejected { retry_after },
            QueryOutcome::Failed => FinalResponse::Failed,
            QueryOutcome::Answered { is_complete } => FinalResponse::Answered {
                is_complete,
                values,
            },
        });
    }

    /// A dispatch with all that its frame needs. `None`: it does not go out.
    fn send(&mut self, now: Micros, d: Dispatch) -> Option<OutgoingAttempt> {
        let attempt = d.attempt;
        match self.queries.outgoing(now, d) {
            Ok(send) => return Some(send),
            Err(Held::Over) => {}
            Err(Held::Repeat) => {
                // An earlier query of its key may have run this part: this one can be neither served nor refused.
                self.core.abandon(attempt.query);
                self.queries
                    .finish(now, attempt.query, |_| FinalResponse::Failed);
            }
        }
        self.ended
            .push(EndedAttempt::unsent(attempt, Outcome::NotSent));
        None
    }
}
