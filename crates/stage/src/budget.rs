//! Extra dispatches: one in five of the last ten seconds' requests, and a small allowance (design 5.6).

pub const WINDOW: playbill::Micros = 10_000_000;

#[derive(Default)]
struct Book {
    firsts: std::collections::VecDeque<playbill::Micros>,
    extras: std::collections::VecDeque<playbill::Micros>,
}

/// Pure: one book per service.
#[derive(Default)]
pub struct Budget {
    allowance: usize,
    books: std::collections::HashMap<String, Book>,
}

impl Budget {
    pub fn new(allowance: usize) -> Self {
        Budget { allowance, books: Default::default() }
    }

    fn book(&mut self, now: playbill::Micros, service: &str) -> &mut Book {
        let book = self.books.entry(service.to_string()).or_default();
        [&mut book.firsts, &mut book.extras].into_iter().for_each(|times| {
            while times.front().is_some_and(|time| time + WINDOW <= now) {
                times.pop_front();
            }
        });
        book
    }

    pub fn first(&mut self, now: playbill::Micros, service: &str) {
        self.book(now, service).firsts.push_back(now);
    }

    /// Takes one extra dispatch if the window has room.
    pub fn extra(&mut self, now: playbill::Micros, service: &str) -> bool {
        let allowance = self.allowance;
        let book = self.book(now, service);
        let fits = book.extras.len() < book.firsts.len() / 5 + allowance;
        if fits {
            book.extras.push_back(now);
        }
        fits
    }
}

pub enum Command {
    First(String),
    Extra(String, tokio::sync::oneshot::Sender<bool>),
}

#[derive(Clone)]
pub struct BudgetDesk {
    commands: tokio::sync::mpsc::Sender<Command>,
    spent: Spent,
}

/// Requests and extra dispatches by service since the start, for status pages.
pub type Spent = std::sync::Arc<arc_swap::ArcSwap<std::collections::BTreeMap<String, (u64, u64)>>>;

impl BudgetDesk {
    pub fn start(allowance: usize) -> Self {
        let (sender, mut commands) = tokio::sync::mpsc::channel(1_024);
        let spent: Spent = Default::default();
        let told = spent.clone();
        tokio::spawn(async move {
            let mut budget = Budget::new(allowance);
            let mut counts = std::collections::BTreeMap::<String, (u64, u64)>::new();
            while let Some(command) = commands.recv().await {
                match command {
                    Command::First(service) => {
                        budget.first(playbill::now(), &service);
                        counts.entry(service).or_default().0 += 1;
                    }
                    Command::Extra(service, answer) => {
                        let granted = budget.extra(playbill::now(), &service);
                        counts.entry(service).or_default().1 += granted as u64;
                        answer.send(granted).unwrap_or_default();
                    }
                }
                told.store(std::sync::Arc::new(counts.clone()));
            }
        });
        BudgetDesk { commands: sender, spent }
    }

    pub fn spent(&self) -> std::sync::Arc<std::collections::BTreeMap<String, (u64, u64)>> {
        self.spent.load_full()
    }

    pub async fn first(&self, service: &str) {
        self.commands.send(Command::First(service.to_string())).await.unwrap_or_default();
    }

    pub async fn extra(&self, service: &str) -> bool {
        let (answer, granted) = tokio::sync::oneshot::channel();
        self.commands.send(Command::Extra(service.to_string(), answer)).await.unwrap_or_default();
        granted.await.unwrap_or(false)
    }
}

#[cfg(test)]
mod tests {
    #[test]
    fn no_ten_seconds_hold_more_extras_than_their_requests_allow() {
        props::drawn::<Vec<(u16, bool)>>(300, |steps| {
            let mut budget = super::Budget::new(2);
            let (mut now, mut firsts, mut extras) = (0u64, Vec::new(), Vec::new());
            steps.iter().for_each(|(gap, first)| {
                now += *gap as u64 * 100;
                if *first {
                    budget.first(now, "seat");
                    firsts.push(now);
                } else if budget.extra(now, "seat") {
                    extras.push(now);
                    let inside = |times: &[u64]| times.iter().filter(|time| **time + super::WINDOW > now).count();
                    assert!(inside(&extras) <= inside(&firsts) / 5 + 2);
                }
            });
            assert!(budget.extra(now, "seat-other"), "services do not share");
        });
    }
}
