//! Conns into the back end that wait for their next request (design 13.4).

use playbill::Micros;

pub type Sender = hyper::client::conn::http1::SendRequest<http_body_util::Full<bytes::Bytes>>;

/// Idle conns, the latest used last. The back end closes one after a while: none is used beyond that.
#[derive(Default)]
pub struct Conns(std::sync::Mutex<Vec<(Micros, Sender)>>);

/// Where the back end does not say how long it keeps an idle conn.
const IDLE: Micros = 4_000_000;
/// Taken off what it says, as it counts from its own last byte.
const MARGIN: Micros = 1_000_000;

impl Conns {
    /// One that was used of late and is still open.
    pub fn take(&self, now: Micros) -> Option<Sender> {
        let mut idle = self.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        idle.retain(|(until, sender)| now < *until && !sender.is_closed());
        idle.pop().map(|(_, sender)| sender)
    }

    pub fn give(&self, now: Micros, sender: Sender, told: Option<Micros>) {
        let until = now + told.map(|told| told.saturating_sub(MARGIN).min(IDLE)).unwrap_or(IDLE);
        self.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner).push((until, sender));
    }

    /// Another back end, or one that cannot be trusted with kept conns just now.
    pub fn clear(&self) {
        self.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner).clear();
    }
}
