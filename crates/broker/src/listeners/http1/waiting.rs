//! What an HTTP/1.1 connection waits for between two requests: the delay after invalid requests, and
//! the first bytes of the next request.

use super::connection::Http1Connection;
use crate::listeners::lifecycle::Phase;
use crate::listeners::slots::EvictionPriority;
use crate::listeners::timeouts::RECEIVE_TIMEOUT;
use crate::net::LINGER_IDLE;
use async_io::Timer;
use futures_lite::FutureExt;
use std::io;

/// Outcome of waiting for a request.
pub(super) enum WaitOutcome {
    /// The first bytes of a request have arrived.
    RequestStarted,
    /// The connection has to be closed.
    ConnectionEnded,
    /// The connection was evicted and has to be closed.
    Evicted,
}

impl WaitOutcome {
    /// Returns the outcome for the number of received bytes. The number is 0 if the client has
    /// closed its side, or if the wait ended by a timeout.
    fn from_received_bytes(received: usize) -> Self {
        if received > 0 {
            WaitOutcome::RequestStarted
        } else {
            WaitOutcome::ConnectionEnded
        }
    }
}

/// Outcome of waiting for the delay after invalid requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DelayOutcome {
    /// The next request may be decoded.
    Passed,
    /// The connection was evicted and has to be closed.
    Evicted,
}

impl Http1Connection<'_> {
    /// Waits until the delay after invalid requests has passed, or the shutdown starts. Until the
    /// connection has served a valid request, it may be evicted meanwhile.
    pub(super) async fn wait_for_delay(&mut self) -> DelayOutcome {
        let is_serving = self.context.lifecycle().phase() == Phase::Serving;
        let decode_at = self.delay.decode_at();
        let decode_at = decode_at.filter(|_| is_serving);
        self.input.set_delayed_until(decode_at);
        let Some(decode_at) = decode_at else {
            return DelayOutcome::Passed;
        };
        let passed = async {
            let timer = async { _ = Timer::at(decode_at).await };
            timer.or(self.context.lifecycle().phase_changed()).await;
            DelayOutcome::Passed
        };
        if self.has_served {
            return passed.await;
        }
        let evictable = self.slots.evictable(EvictionPriority::Unused);
        let evicted = async {
            evictable.evicted().await;
            DelayOutcome::Evicted
        };
        passed.or(evicted).await
    }

    /// Waits for the first bytes of a request. The connection is idle meanwhile: it may be evicted
    /// and has an idle timeout.
    pub(super) async fn wait_for_request(&mut self) -> io::Result<WaitOutcome> {
        if self.context.lifecycle().phase() == Phase::Closing {
            return self.wait_for_last_request().await;
        }
        let priority = if self.has_served {
            EvictionPriority::Idle
        } else {
            EvictionPriority::Unused
        };
        let evictable = self.slots.evictable(priority);
        let timeout = if self.has_served {
            self.slots.idle_timeout()
        } else {
            RECEIVE_TIMEOUT
        };
        let timer = Timer::after(timeout);
        let evicted = async {
            evictable.evicted().await;
            Ok(WaitOutcome::Evicted)
        };
        let timed_out = async {
            timer.await;
            Ok(WaitOutcome::ConnectionEnded)
        };
        let received = async {
            let received = self.input.read().await?;
            Ok(WaitOutcome::from_received_bytes(received))
        };
        // `or` polls the read first, so a request that arrives at the moment of an eviction or a
        // timeout is served.
        received.or(evicted).or(timed_out).await
    }

    /// Checks for a last request in [`Phase::Closing`], when the broker closes its connections. A
    /// request that has already arrived is read. A client that has sent no valid request yet may
    /// have just connected, so the broker waits up to [`LINGER_IDLE`] for its request.
    async fn wait_for_last_request(&mut self) -> io::Result<WaitOutcome> {
        let has_served = self.has_served;
        let closed = async {
            if !has_served {
                Timer::after(LINGER_IDLE).await;
            }
            Ok(0)
        };
        let received = self.input.read().or(closed).await?;
        Ok(WaitOutcome::from_received_bytes(received))
    }
}
