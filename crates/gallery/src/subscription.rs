//! A node's side: one conn upstream for news, proofs and forwarded entries (design 5.2, 6.1).

pub struct SubscriptionEnv {
    pub name: String,
    pub zone: String,
    pub address: String,
    pub life: playbill::Incarnation,
    pub bound: playbill::Micros,
    pub ask_every: playbill::Micros,
    pub patience: playbill::Micros,
}

type Asked = (playbill::standing::Report, tokio::sync::oneshot::Sender<playbill::Outcome>);

/// Hands a report to the log and waits until it is answered, through whichever core seat.
#[derive(Clone)]
pub struct Reports(tokio::sync::mpsc::Sender<Asked>);

impl Reports {
    pub async fn tell(&self, report: playbill::standing::Report) -> Option<playbill::Outcome> {
        let (answer, outcome) = tokio::sync::oneshot::channel();
        self.0.send((report, answer)).await.ok()?;
        outcome.await.ok()
    }
}

pub struct Subscription {
    pub view: crate::view::SharedView,
    pub reports: Reports,
    pub moved: tokio::sync::watch::Receiver<playbill::Position>,
}

struct Line {
    env: SubscriptionEnv,
    known: crate::Known,
    view: crate::view::SharedView,
    moved: tokio::sync::watch::Sender<playbill::Position>,
    services: tokio::sync::watch::Receiver<playbill::slice::Services>,
    reports: tokio::sync::mpsc::Receiver<Asked>,
    /// The one entry under way; it keeps its sequence over every resend (design 2.3).
    under_way: Option<(playbill::Entry, tokio::sync::oneshot::Sender<playbill::Outcome>)>,
    sequence: u64,
    asks: std::collections::VecDeque<(u64, playbill::Micros)>,
    numbers: u64,
    logger: slog::Logger,
}

pub fn start(
    env: SubscriptionEnv,
    known: crate::Known,
    services: tokio::sync::watch::Receiver<playbill::slice::Services>,
    logger: slog::Logger,
) -> Subscription {
    let (sender, reports) = tokio::sync::mpsc::channel(256);
    let (moved, watch) = tokio::sync::watch::channel(0);
    let view: crate::view::SharedView = Default::default();
    let line = Line { env, known, view: view.clone(), moved, services, reports, under_way: None, sequence: 0, asks: Default::default(), numbers: 0, logger };
    tokio::spawn(line.run());
    Subscription { view, reports: Reports(sender), moved: watch }
}

impl Line {
    async fn run(mut self) {
        // Nodes spread over the core by name, then go round when a seat does not answer.
        let start = playbill::terms::slice_of(&self.env.name) as usize;
        let mut turn = start;
        loop {
            let seats = crate::acquaint::list(&self.known);
            let place = seats.get(turn % seats.len().max(1)).map(|seat| seat.address.clone());
            turn += 1;
            if let Some(address) = place {
                let greeting = self.greeting();
                match wings::dial(&address, greeting).await {
                    Ok(conn) => {
                        crate::acquaint::merge(&self.known, conn.greeting.known.clone());
                        slog::info!(self.logger, "subscribed"; "upstream" => &conn.greeting.name);
                        self.attend(conn).await;
                    }
                    Err(trouble) => slog::debug!(self.logger, "dial"; "address" => address, "trouble" => %trouble),
                }
            }
            tokio::time::sleep(std::time::Duration::from_millis(20 + rand::random::<u64>() % 30)).await;
        }
    }

    fn greeting(&self) -> wings::Greeting {
        wings::Greeting {
            purpose: wings::Purpose::Subscribe,
            name: self.env.name.clone(),
            zone: self.env.zone.clone(),
            address: self.env.address.clone(),
            incarnation: self.env.life,
            core: None,
            known: crate::acquaint::list(&self.known),
        }
    }

    async fn attend(&mut self, mut conn: wings::Conn) {
        self.asks.clear();
        let mut fine = self.subscribe(&conn.sender).await;
        fine &= self.forward(&conn.sender).await;
        let mut proved = playbill::now();
        let mut every = tokio::time::interval(std::time::Duration::from_micros(self.env.ask_every));
        every.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        while fine {
            fine = tokio::select! {
                frame = conn.receiver.recv() => match frame {
                    Some(frame) => self.take(frame, &mut proved, &conn.sender).await,
                    None => false,
                },
                _ = every.tick() => {
                    self.numbers += 1;
                    self.asks.push_back((self.numbers, playbill::now()));
                    let asked = conn.sender.try_send(wings::Frame::Ask { number: self.numbers }).is_ok();
                    // An upstream that proves nothing is left for another in good time.
                    asked && playbill::now() < proved + self.env.patience
                }
                changed = self.services.changed() => changed.is_ok() && self.subscribe(&conn.sender).await,
                asked = self.reports.recv(), if self.under_way.is_none() => match asked {
                    Some((report, answer)) => {
                        self.sequence += 1;
                        let (origin, life, sequence) = (self.env.name.clone(), self.env.life, self.sequence);
                        let act = playbill::Act::Standing(report);
                        self.under_way = Some((playbill::Entry { origin, life, sequence, act }, answer));
                        self.forward(&conn.sender).await
                    }
                    None => false,
                },
            };
        }
        slog::info!(self.logger, "upstream left"; "upstream" => &conn.greeting.name);
    }

    async fn subscribe(&mut self, sender: &wings::Sender) -> bool {
        let services = self.services.borrow_and_update().clone();
        let held = self.view.load().slice.position;
        sender.send(wings::Frame::Subscribe { services, held }).await.is_ok()
    }

    async fn forward(&mut self, sender: &wings::Sender) -> bool {
        match &self.under_way {
            Some((entry, _)) => sender.send(wings::Frame::Forward { number: entry.sequence, entry: entry.clone() }).await.is_ok(),
            None => true,
        }
    }

    async fn take(&mut self, frame: wings::Frame, proved: &mut playbill::Micros, sender: &wings::Sender) -> bool {
        match frame {
            wings::Frame::News(slice) => {
                if let Some(view) = self.view.load().with_news(slice) {
                    let position = view.slice.position;
                    self.view.store(std::sync::Arc::new(view));
                    self.moved.send_replace(position);
                }
            }
            wings::Frame::Proof { number, position } => {
                let asked = self.asks.iter().find(|(asked, _)| *asked == number).map(|(_, at)| *at);
                self.asks.retain(|(asked, _)| *asked > number);
                let next = asked.and_then(|asked| self.view.load().with_proof(asked, position, self.env.bound));
                if let Some(view) = next {
                    self.view.store(std::sync::Arc::new(view));
                    self.moved.send_modify(|_| {});
                    *proved = playbill::now();
                }
            }
            wings::Frame::Answer { number, outcome } => {
                let ours = self.under_way.as_ref().is_some_and(|(entry, _)| entry.sequence == number);
                match (ours, outcome) {
                    (true, Some(outcome)) => {
                        if let Some((_, answer)) = self.under_way.take() {
                            drop(answer.send(outcome));
                        }
                    }
                    // Not known to be in the log: the same entry goes again, here or elsewhere.
                    (true, None) => return self.forward(sender).await,
                    (false, _) => {}
                }
            }
            _ => {}
        }
        true
    }
}
