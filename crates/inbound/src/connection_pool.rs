//! Connections into the backend that wait for their next request, and how long they may (design 13.4,
//! 13.9).

#[cfg(test)]
mod tests;

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use model::Microseconds;

/// A connection on which a request can be sent.
pub(crate) type HttpSender = SendRequest<Full<Bytes>>;

/// Idle connections. The lock is a leaf: nothing is awaited or locked while it is held.
#[derive(Default)]
pub(crate) struct ConnectionPool {
    pooled: Mutex<PooledConnections>,
}

#[derive(Default)]
struct PooledConnections {
    /// The latest used last.
    idle: VecDeque<IdleConnection>,
    idle_limit: IdleLimit,
}

struct IdleConnection {
    since: Microseconds,
    /// Until then the backend keeps it open, by its own word.
    until: Microseconds,
    sender: HttpSender,
}

/// How long a connection may idle where the backend does not say: 4 s.
const DEFAULT_IDLE_TIMEOUT: Microseconds = 4_000_000;
/// Taken off what the backend says, as it counts from its own last byte: 1 s.
const KEEP_ALIVE_MARGIN: Microseconds = 1_000_000;
/// More than any backend has slots for would never be used.
const MAX_IDLE_CONNECTIONS: usize = 24;
/// The idle limit falls no further than 50 ms.
const MIN_IDLE_LIMIT: Microseconds = 50_000;
/// The idle limit doubles after 4 s without a stale connection.
const IDLE_LIMIT_DOUBLING_INTERVAL: Microseconds = 4_000_000;

/// How long a connection may idle, learned from those that were stale: half as long as the shortest
/// of them, and twice as long again whenever none was stale for a while. Pure, with the time passed
/// in.
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
    fn record_stale(&mut self, now: Microseconds, idled: Microseconds) {
        self.limit = self.limit.min(idled / 2).max(MIN_IDLE_LIMIT);
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

    /// Takes the connection used last that is still open; says for how long it idled.
    pub(crate) fn take(&self, now: Microseconds) -> Option<(Microseconds, HttpSender)> {
        let mut pooled = self.lock();
        let limit = pooled.idle_limit.current(now);
        pooled.idle.retain(|connection| {
            let idled = now.saturating_sub(connection.since);
            now < connection.until && idled < limit && !connection.sender.is_closed()
        });
        let connection = pooled.idle.pop_back()?;
        Some((now.saturating_sub(connection.since), connection.sender))
    }

    /// Keeps a connection for the next request. `keep_alive` is how long the backend says that it
    /// keeps it open, in microseconds.
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
            since: now,
            until: now + usable_for,
            sender,
        });
        if pooled.idle.len() > MAX_IDLE_CONNECTIONS {
            pooled.idle.pop_front();
        }
    }

    /// The backend had closed a connection that idled for so long.
    pub(crate) fn record_stale(&self, now: Microseconds, idled: Microseconds) {
        self.lock().idle_limit.record_stale(now, idled);
    }

    /// Forgets everything: there is another backend now.
    pub(crate) fn clear(&self) {
        *self.lock() = PooledConnections::default();
    }
}
