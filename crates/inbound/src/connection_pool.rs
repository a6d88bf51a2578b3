//! Pool of idle connections to the backend, with a limit on their idle time that adapts to stale
//! connections (design 13.4, 13.9).

#[cfg(test)]
mod tests;

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use model::Microseconds;

/// The sending half of an HTTP/1.1 connection to the backend.
pub(crate) type HttpSender = SendRequest<Full<Bytes>>;

/// Idle connections. While the lock is held, no other lock is taken and nothing is awaited.
#[derive(Default)]
pub(crate) struct ConnectionPool {
    pooled: Mutex<PooledConnections>,
}

#[derive(Default)]
struct PooledConnections {
    /// Ordered by last use; the most recently used connection is at the back.
    idle: VecDeque<IdleConnection>,
    idle_limit: IdleLimit,
}

struct IdleConnection {
    idle_since: Microseconds,
    /// The time until which the backend keeps the connection open, according to its `keep-alive`
    /// header or the default timeout.
    usable_until: Microseconds,
    sender: HttpSender,
}

/// Idle timeout of a connection if the backend announces none, in microseconds.
const DEFAULT_IDLE_TIMEOUT: Microseconds = 4_000_000;
/// Margin subtracted from the backend's keep-alive timeout, in microseconds. The backend's timeout
/// starts when it writes its last byte, before this side receives that byte.
const KEEP_ALIVE_MARGIN: Microseconds = 1_000_000;
/// Maximum number of idle connections. More connections than a backend has slots are never used.
const MAX_IDLE_CONNECTIONS: usize = 24;
/// Lower bound of the idle limit, in microseconds.
const MIN_IDLE_LIMIT: Microseconds = 50_000;
/// Time without a stale connection after which the idle limit doubles, in microseconds.
const IDLE_LIMIT_DOUBLING_INTERVAL: Microseconds = 4_000_000;

/// Adaptive limit on the idle time of a connection. A stale connection lowers the limit to half of
/// that connection's idle time; after [`IDLE_LIMIT_DOUBLING_INTERVAL`] without a stale connection
/// the limit doubles. Callers pass in the current time.
struct IdleLimit {
    limit: Microseconds,
    changed_at: Microseconds,
}

impl Default for IdleLimit {
    fn default() -> Self {
        IdleLimit {
            limit: DEFAULT_IDLE_TIMEOUT,
            changed_at: 0,
        }
    }
}

impl IdleLimit {
    fn record_stale(&mut self, now: Microseconds, idle_time: Microseconds) {
        self.limit = self.limit.min(idle_time / 2).max(MIN_IDLE_LIMIT);
        self.changed_at = now;
    }

    fn current(&mut self, now: Microseconds) -> Microseconds {
        let unchanged_for_long = now > self.changed_at + IDLE_LIMIT_DOUBLING_INTERVAL;
        if self.limit < DEFAULT_IDLE_TIMEOUT && unchanged_for_long {
            self.limit = (self.limit * 2).min(DEFAULT_IDLE_TIMEOUT);
            self.changed_at = now;
        }
        self.limit
    }
}

impl ConnectionPool {
    fn lock(&self) -> MutexGuard<'_, PooledConnections> {
        self.pooled.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the most recently used connection that is still usable, and returns it with its idle
    /// time.
    pub(crate) fn take(&self, now: Microseconds) -> Option<(Microseconds, HttpSender)> {
        let mut pooled = self.lock();
        let limit = pooled.idle_limit.current(now);
        pooled.idle.retain(|connection| {
            let idle_time = now.saturating_sub(connection.idle_since);
            now < connection.usable_until && idle_time < limit && !connection.sender.is_closed()
        });
        let connection = pooled.idle.pop_back()?;
        Some((now.saturating_sub(connection.idle_since), connection.sender))
    }

    /// Returns a connection to the pool. `keep_alive` is the idle timeout that the backend
    /// announced, in microseconds.
    pub(crate) fn put_back(
        &self,
        now: Microseconds,
        sender: HttpSender,
        keep_alive: Option<Microseconds>,
    ) {
        let usable_for = keep_alive
            .map(|timeout| {
                timeout
                    .saturating_sub(KEEP_ALIVE_MARGIN)
                    .min(DEFAULT_IDLE_TIMEOUT)
            })
            .unwrap_or(DEFAULT_IDLE_TIMEOUT);
        let mut pooled = self.lock();
        pooled.idle.push_back(IdleConnection {
            idle_since: now,
            usable_until: now + usable_for,
            sender,
        });
        if pooled.idle.len() > MAX_IDLE_CONNECTIONS {
            pooled.idle.pop_front();
        }
    }

    /// Records that the backend had already closed a connection that was idle for `idle_time`.
    pub(crate) fn record_stale(&self, now: Microseconds, idle_time: Microseconds) {
        self.lock().idle_limit.record_stale(now, idle_time);
    }

    /// Closes all idle connections and resets the idle limit, because the backend was replaced.
    pub(crate) fn clear(&self) {
        *self.lock() = PooledConnections::default();
    }
}
