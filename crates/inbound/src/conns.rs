//! Conns into the back end that wait for their next request, and how long they may (design 13.4, 13.9).

use model::Micros;

pub type Sender = hyper::client::conn::http1::SendRequest<http_body_util::Full<bytes::Bytes>>;

/// Idle conns, the latest used last.
#[derive(Default)]
pub struct Conns(std::sync::Mutex<Kept>);

#[derive(Default)]
struct Kept {
    /// Since when it rests, and until when it may by the back end's own word.
    idle: std::collections::VecDeque<(Micros, Micros, Sender)>,
    rest: Rest,
}

/// Where the back end does not say how long it keeps an idle conn.
const IDLE: Micros = 4_000_000;
/// Taken off what it says, as it counts from its own last byte.
const MARGIN: Micros = 1_000_000;
/// More than any back end has slots for lie about for nothing.
const MOST: usize = 24;

/// How long a conn may rest, learned from those that were forgotten: half as long as the shortest of them, and twice as
/// long again whenever none was forgotten for a while. Pure, with the time told to it.
pub struct Rest {
    most: Micros,
    since: Micros,
}

const LEAST: Micros = 50_000;
const AGAIN: Micros = 4_000_000;

impl Default for Rest {
    fn default() -> Self {
        Rest { most: IDLE, since: 0 }
    }
}

impl Rest {
    pub fn forgotten(&mut self, now: Micros, rested: Micros) {
        (self.most, self.since) = (self.most.min(rested / 2).max(LEAST), now);
    }

    pub fn most(&mut self, now: Micros) -> Micros {
        if self.most < IDLE && now > self.since + AGAIN {
            (self.most, self.since) = ((self.most * 2).min(IDLE), now);
        }
        self.most
    }
}

impl Conns {
    fn kept(&self) -> std::sync::MutexGuard<'_, Kept> {
        self.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// The one used last that is still open, and for how long it rested.
    pub fn take(&self, now: Micros) -> Option<(Micros, Sender)> {
        let mut kept = self.kept();
        let most = kept.rest.most(now);
        kept.idle.retain(|(since, until, sender)| now < *until && now.saturating_sub(*since) < most && !sender.is_closed());
        kept.idle.pop_back().map(|(since, _, sender)| (now.saturating_sub(since), sender))
    }

    pub fn give(&self, now: Micros, sender: Sender, told: Option<Micros>) {
        let until = now + told.map(|told| told.saturating_sub(MARGIN).min(IDLE)).unwrap_or(IDLE);
        let mut kept = self.kept();
        kept.idle.push_back((now, until, sender));
        if kept.idle.len() > MOST {
            kept.idle.pop_front();
        }
    }

    /// The back end did not know it any more.
    pub fn forgotten(&self, now: Micros, rested: Micros) {
        self.kept().rest.forgotten(now, rested);
    }

    /// Another back end, or one that cannot be trusted with kept conns just now.
    pub fn clear(&self) {
        *self.kept() = Kept::default();
    }
}

#[cfg(test)]
mod tests {
    #[test]
    fn conns_rest_half_as_long_as_those_that_were_forgotten_and_longer_again_bit_by_bit() {
        let mut rest = super::Rest::default();
        assert_eq!(rest.most(0), super::IDLE);
        rest.forgotten(1_000_000, 300_000);
        assert_eq!(rest.most(1_000_001), 150_000);
        rest.forgotten(1_100_000, 900_000);
        assert_eq!(rest.most(1_100_001), 150_000, "one that rested longer says nothing new");
        let steps: Vec<u64> = (1..8).map(|at| rest.most(1_100_001 + at * (super::AGAIN + 1))).collect();
        assert_eq!(steps, [300_000, 600_000, 1_200_000, 2_400_000, 4_000_000, 4_000_000, 4_000_000]);
    }
}
