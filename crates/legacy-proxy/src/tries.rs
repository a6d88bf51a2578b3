//! Identities of tries already passed on, kept as long as one could still arrive (design 5.5).

/// Tries are named under a registration: another life of the node or of the sender is told apart.
pub fn prefix(name: &str, registered: model::Incarnation) -> String {
    format!("{name}.{registered}.")
}

/// Named under some registration, though maybe not the present one.
pub fn is_named(try_id: &str) -> bool {
    let mut parts = try_id.splitn(3, '.');
    let named = parts.next().is_some_and(model::check::is_name);
    let lived = parts.next().is_some_and(|life| life.parse::<u64>().is_ok());
    named && lived && parts.next().is_some_and(|rest| !rest.is_empty())
}

#[derive(Default)]
pub struct Tries {
    seen: std::collections::HashSet<(String, String)>,
    order: std::collections::VecDeque<(model::Micros, (String, String))>,
}

/// The longest wait an order may name is a minute; a frame older than that is refused by its mark.
pub const KEPT: model::Micros = 180_000_000;

impl Tries {
    pub fn knows(&self, service: &str, try_id: &str) -> bool {
        self.seen.contains(&(service.to_string(), try_id.to_string()))
    }

    pub fn note(&mut self, now: model::Micros, service: &str, try_id: &str) {
        let identity = (service.to_string(), try_id.to_string());
        if self.seen.insert(identity.clone()) {
            self.order.push_back((now + KEPT, identity));
        }
    }

    /// It certainly was not passed on after all: the same try may be dispatched here again.
    pub fn unnote(&mut self, service: &str, try_id: &str) {
        self.seen.remove(&(service.to_string(), try_id.to_string()));
    }

    pub fn forget(&mut self, now: model::Micros) {
        while self.order.front().is_some_and(|(until, _)| *until <= now) {
            if let Some((_, identity)) = self.order.pop_front() {
                self.seen.remove(&identity);
            }
        }
    }

    pub fn len(&self) -> usize {
        self.seen.len()
    }

    pub fn is_empty(&self) -> bool {
        self.seen.is_empty()
    }
}
