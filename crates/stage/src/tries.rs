//! Identities of tries already passed on, kept as long as one could still arrive (design 5.5).

#[derive(Default)]
pub struct Tries {
    seen: std::collections::HashSet<(String, String)>,
    order: std::collections::VecDeque<(playbill::Micros, (String, String))>,
}

/// The longest wait an order may name is a minute; a frame older than that is refused by its mark.
pub const KEPT: playbill::Micros = 180_000_000;

impl Tries {
    pub fn knows(&self, service: &str, try_id: &str) -> bool {
        self.seen.contains(&(service.to_string(), try_id.to_string()))
    }

    pub fn note(&mut self, now: playbill::Micros, service: &str, try_id: &str) {
        let identity = (service.to_string(), try_id.to_string());
        if self.seen.insert(identity.clone()) {
            self.order.push_back((now + KEPT, identity));
        }
    }

    /// It certainly was not passed on after all: the same try may be dispatched here again.
    pub fn unnote(&mut self, service: &str, try_id: &str) {
        self.seen.remove(&(service.to_string(), try_id.to_string()));
    }

    pub fn forget(&mut self, now: playbill::Micros) {
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

type Asked = (String, String, tokio::sync::oneshot::Sender<bool>);

/// Tries this usher has taken, so that one identity is never dispatched for two requests.
#[derive(Clone)]
pub struct TryDesk(tokio::sync::mpsc::Sender<Asked>);

impl TryDesk {
    pub fn start() -> Self {
        let (sender, mut asked) = tokio::sync::mpsc::channel::<Asked>(1_024);
        tokio::spawn(async move {
            let mut tries = Tries::default();
            while let Some((service, try_id, answer)) = asked.recv().await {
                let now = playbill::now();
                tries.forget(now);
                let new = !tries.knows(&service, &try_id);
                tries.note(now, &service, &try_id);
                answer.send(new).unwrap_or_default();
            }
        });
        TryDesk(sender)
    }

    pub async fn new_here(&self, service: &str, try_id: &str) -> bool {
        let (answer, new) = tokio::sync::oneshot::channel();
        self.0.send((service.to_string(), try_id.to_string(), answer)).await.unwrap_or_default();
        new.await.unwrap_or(false)
    }
}
