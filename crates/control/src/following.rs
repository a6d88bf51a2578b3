//! A node's side: it follows one core seat, its own zone's first, and holds the bill as it was told (design 11.3).

/// What a node believes: nothing before the first proof of its life (design 11.6). From then on it serves lanes from
/// the newest it ever held; only the right to grant keys needs a fresh proof, and lasts from when that was asked (11.5).
#[derive(Clone, Debug, Default)]
pub struct Outlook {
    pub programme: std::sync::Arc<model::bill::Programme>,
    /// When the latest proof was asked; 0 before the first.
    pub proved: model::Micros,
}

pub type SharedOutlook = std::sync::Arc<arc_swap::ArcSwap<Outlook>>;

pub struct FollowingEnv {
    pub name: String,
    pub zone: String,
    pub ask_every: model::Micros,
    /// An upstream that leaves an asking without a proof for so long is left for another.
    pub patience: model::Micros,
}

#[derive(Clone)]
pub struct Following {
    pub outlook: SharedOutlook,
    /// Moves with every change of the outlook.
    pub moved: tokio::sync::watch::Receiver<u64>,
}

/// A node that follows a seat of another zone looks again after so long.
const SETTLED: model::Micros = 2_000_000;

struct Line<G> {
    env: FollowingEnv,
    known: crate::Known,
    greeting: G,
    outlook: SharedOutlook,
    moved: tokio::sync::watch::Sender<u64>,
    book: crate::promptbook::Promptbook,
    /// How often it left a seat of another zone for its own.
    looks: u32,
    logger: slog::Logger,
}

pub fn start<G: Fn() -> transport::Greeting + Send + Sync + 'static>(env: FollowingEnv, known: crate::Known, greeting: G, logger: slog::Logger) -> Following {
    let (moved, watch) = tokio::sync::watch::channel(0);
    let outlook: SharedOutlook = Default::default();
    let line = Line { env, known, greeting, outlook: outlook.clone(), moved, book: Default::default(), looks: 0, logger };
    tokio::spawn(line.run());
    Following { outlook, moved: watch }
}

/// Seats of the own zone first, both parts in an order of the node's own.
pub(crate) fn by_zone(known: &crate::Known, zone: &str, name: &str) -> Vec<transport::CoreSeat> {
    let mut seats = crate::acquaint::list(known);
    seats.sort_by_key(|seat| (seat.zone != zone, model::terms::hash(&format!("{name}{}", seat.seat)), std::cmp::Reverse(seat.starts)));
    seats
}

/// Which seat is next, and how many dials in a row reached none.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Turns {
    turn: usize,
    missed: usize,
}

impl Turns {
    /// `met`: whether the seat that was reached proved to the end; none if it was not reached.
    fn after(self, seats: usize, met: Option<bool>) -> Turns {
        match met {
            Some(true) => Turns::default(),
            // Nobody could be reached for a whole round, and now one is: the way is back, and the order begins anew at once.
            Some(false) if self.missed >= seats => Turns::default(),
            Some(false) => Turns { turn: self.turn + 1, missed: 0 },
            None => Turns { turn: self.turn + 1, missed: self.missed + 1 },
        }
    }
}

impl<G: Fn() -> transport::Greeting + Send + Sync + 'static> Line<G> {
    async fn run(mut self) {
        let mut turns = Turns::default();
        loop {
            let seats = by_zone(&self.known, &self.env.zone, &self.env.name);
            if let Some(seat) = seats.get(turns.turn % seats.len().max(1)) {
                match transport::dial(&seat.address, (self.greeting)()).await {
                    Ok(conn) => {
                        crate::acquaint::merge(&self.known, conn.greeting.known.clone());
                        slog::info!(self.logger, "follows"; "upstream" => &conn.greeting.name);
                        // One that is gone may be back at once; one that proves nothing is left for the next.
                        turns = turns.after(seats.len(), Some(self.attend(conn).await));
                    }
                    Err(trouble) => {
                        turns = turns.after(seats.len(), None);
                        slog::debug!(self.logger, "dial"; "address" => &seat.address, "trouble" => %trouble);
                    }
                }
            }
            // Once round without any use: no seat proves anything now, and asking them all faster does not help.
            let round = (turns.turn / seats.len().max(1)).min(4) as u64;
            let pause = 20 + 150 * round;
            tokio::time::sleep(std::time::Duration::from_millis(pause + rand::random::<u64>() % (pause + 10))).await;
        }
    }

    /// Whether it proved what it told to the end.
    async fn attend(&mut self, mut conn: transport::Conn) -> bool {
        let held = self.book.begin();
        let mut fine = conn.sender.send(transport::Frame::Follow { held }).await.is_ok();
        let (mut proved, began, away) = (false, model::now(), conn.greeting.zone != self.env.zone);
        let mut every = tokio::time::interval(std::time::Duration::from_micros(self.env.ask_every));
        every.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        while fine {
            fine = tokio::select! {
                frame = conn.receiver.recv() => frame.is_some_and(|frame| self.take(frame, &mut proved)),
                _ = every.tick() => {
                    let now = model::now();
                    // A seat of the own zone became known, or came back: news that crosses no zone is followed there.
                    if began + (SETTLED << self.looks.min(4)) < now && away && by_zone(&self.known, &self.env.zone, &self.env.name).first().is_some_and(|seat| seat.zone == self.env.zone) {
                        self.looks += 1;
                        break;
                    }
                    let trusted = self.book.waits_since().is_none_or(|asked| now < asked + self.env.patience);
                    proved &= trusted;
                    trusted && conn.sender.try_send(self.book.ask(now)).is_ok()
                }
            };
        }
        slog::info!(self.logger, "upstream left"; "upstream" => &conn.greeting.name, "proved" => proved);
        proved
    }

    /// False when what the conn tells does not fit what is held.
    fn take(&mut self, frame: transport::Frame, proved: &mut bool) -> bool {
        let heard = self.book.take(frame);
        *proved |= heard == crate::promptbook::Heard::Proof;
        if heard != crate::promptbook::Heard::Nothing
            && let Some(outlook) = self.book.believed()
        {
            self.outlook.store(std::sync::Arc::new(outlook));
            self.moved.send_modify(|moved| *moved += 1);
        }
        heard != crate::promptbook::Heard::Misfit
    }
}

#[cfg(test)]
mod tests {
    use super::Turns;

    fn after(words: &[Option<bool>]) -> Turns {
        words.iter().fold(Turns::default(), |turns, met| turns.after(5, *met))
    }

    #[test]
    fn a_node_whose_way_is_back_begins_with_its_own_zone_at_once() {
        let cut: Vec<Option<bool>> = vec![None; 17];
        assert_eq!(after(&cut).turn, 17);
        // The first that is reached is a seat that is itself cut off.
        assert_eq!(after(&[cut, vec![Some(false)]].concat()), Turns::default());
    }

    #[test]
    fn a_dead_seat_and_one_that_proves_nothing_do_not_keep_it_from_the_third() {
        assert_eq!(after(&[None, Some(false)]).turn, 2);
        assert_eq!(after(&[None, Some(false), Some(true)]), Turns::default());
    }
}
