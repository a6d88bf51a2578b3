//! Conns into the back end that wait for their next request, and how long they may (design 13.4, 13.9).

use model::Microseconds;
use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

pub type HttpSender = hyper::client::conn::http1::SendRequest<http_body_util::Full<bytes::Bytes>>;

/// Idle conns, the latest used last.
#[derive(Default)]
pub struct ConnectionPool(Mutex<PooledConnections>);

#[derive(Default)]
struct PooledConnections {
    /// Since when it rests, and until when it may by the back end's own word.
    idle: VecDeque<(Microseconds, Microseconds, HttpSender)>,
    idle_limit: IdleLimit,
}

/// Where the back end does not say how long it keeps an idle conn.
const DEFAULT_IDLE_TIMEOUT: Microseconds = 4_000_000;
/// Taken off what it says, as it counts from its own last byte.
const KEEP_ALIVE_MARGIN: Microseconds = 1_000_000;
/// More than any back end has slots for lie about for nothing.
const MAX_IDLE_CONNECTIONS: usize = 24;

/// How long a conn may rest, learned from those that were forgotten: half as long as the shortest of them, and twice as
/// long again whenever none was forgotten for a while. Pure, with the time told to it.
pub struct IdleLimit {
    limit: Microseconds,
    changed_at: Microseconds,
}

const MIN_IDLE_LIMIT: Microseconds = 50_000;
const IDLE_LIMIT_DOUBLING_INTERVAL: Microseconds = 4_000_000;

impl Default for IdleLimit {
    fn default() -> Self {
        IdleLimit {
            limit: DEFAULT_IDLE_TIMEOUT,
            changed_at: 0,
        }
    }
}

impl IdleLimit {
    pub fn record_stale(&mut self, now: Microseconds, rested: Microseconds) {
        (self.limit, self.changed_at) = (self.limit.min(rested / 2).max(MIN_IDLE_LIMIT), now);
    }

    pub fn current(&mut self, now: Microseconds) -> Microseconds {
        if self.limit < DEFAULT_IDLE_TIMEOUT && now > self.changed_at + IDLE_LIMIT_DOUBLING_INTERVAL
        {
            (self.limit, self.changed_at) = ((self.limit * 2).min(DEFAULT_IDLE_TIMEOUT), now);
        }
        self.limit
    }
}

impl ConnectionPool {
    fn lock(&self) -> MutexGuard<'_, PooledConnections> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The one used last that is still open, and for how long it rested.
    pub fn take(&self, now: Microseconds) -> Option<(Microseconds, HttpSender)> {
        let mut kept = self.lock();
        let most = kept.idle_limit.current(now);
        kept.idle.retain(|(since, until, sender)| {
            now < *until && now.saturating_sub(*since) < most && !sender.is_closed()
        });
        kept.idle
            .pop_back()
            .map(|(since, _, sender)| (now.saturating_sub(since), sender))
    }

    pub fn put_back(&self, now: Microseconds, sender: HttpSender, told: Option<Microseconds>) {
        let until = now
            + told
                .map(|told| {
                    told.saturating_sub(KEEP_ALIVE_MARGIN)
                        .min(DEFAULT_IDLE_TIMEOUT)
                })
                .unwrap_or(DEFAULT_IDLE_TIMEOUT);
        let mut kept = self.lock();
        kept.idle.push_back((now, until, sender));
        if kept.idle.len() > MAX_IDLE_CONNECTIONS {
            kept.idle.pop_front();
        }
    }

    /// The back end did not know it any more.
    pub fn record_stale(&self, now: Microseconds, rested: Microseconds) {
        self.lock().idle_limit.record_stale(now, rested);
    }

    /// Another back end, or one that cannot be trusted with kept conns just now.
    pub fn clear(&self) {
        *self.lock() = PooledConnections::default();
    }
}

#[cfg(test)]
mod tests {
    #[test]
    fn conns_rest_half_as_long_as_those_that_were_forgotten_and_longer_again_bit_by_bit() {
        let mut rest = super::IdleLimit::default();
        assert_eq!(
            rest.current(0),
            crate::connection_pool::DEFAULT_IDLE_TIMEOUT
        );
        rest.record_stale(1_000_000, 300_000);
        assert_eq!(rest.current(1_000_001), 150_000);
        rest.record_stale(1_100_000, 900_000);
        assert_eq!(
            rest.current(1_100_001),
            150_000,
            "one that rested longer says nothing new"
        );
        let steps: Vec<u64> = (1..8)
            .map(|at| rest.current(1_100_001 + at * (super::IDLE_LIMIT_DOUBLING_INTERVAL + 1)))
            .collect();
        assert_eq!(
            steps,
            [
                300_000, 600_000, 1_200_000, 2_400_000, 4_000_000, 4_000_000, 4_000_000
            ]
        );
    }
}
