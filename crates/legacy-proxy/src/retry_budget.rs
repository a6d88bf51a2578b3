//! Extra dispatches: one in five requests and a small allowance, in any ten seconds (design 5.6).

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;

#[cfg(test)]
const WINDOW: model::Microseconds = 10_000_000;

/// A fifth of a token, the smallest amount there is.
type Fifths = u64;
const TOKEN: Fifths = 5;

/// Pure: one bucket per service. Each request earns a fifth of a token, each extra dispatch costs one; time
/// earns nothing, and a new bucket is empty. So extras in any span <= requests in it / 5 + `allowance`.
#[derive(Default)]
pub struct RetryBudget {
    allowance: Fifths,
    buckets: HashMap<String, Fifths>,
}

impl RetryBudget {
    pub fn new(allowance: usize) -> Self {
        RetryBudget {
            allowance: allowance as Fifths * TOKEN,
            buckets: Default::default(),
        }
    }

    pub fn deposit(&mut self, service: &str) {
        let bucket = self.buckets.entry(service.to_string()).or_default();
        *bucket = (*bucket + 1).min(self.allowance);
    }

    /// Takes one extra dispatch if it has been earned.
    pub fn withdraw(&mut self, service: &str) -> bool {
        let bucket = self.buckets.entry(service.to_string()).or_default();
        let fits = *bucket >= TOKEN;
        *bucket -= if fits { TOKEN } else { 0 };
        fits
    }
}

pub enum Command {
    Deposit(String),
    Withdraw(String, tokio::sync::oneshot::Sender<bool>),
}

#[derive(Clone)]
pub struct RetryBudgetHandle {
    commands: tokio::sync::mpsc::Sender<Command>,
    counts: RetryCounts,
}

/// Requests and extra dispatches by service since the start, for status pages.
pub type RetryCounts = Arc<arc_swap::ArcSwap<BTreeMap<String, (u64, u64)>>>;

impl RetryBudgetHandle {
    pub fn start(allowance: usize) -> Self {
        let (sender, mut commands) = tokio::sync::mpsc::channel(1_024);
        let spent: RetryCounts = Default::default();
        let published = spent.clone();
        tokio::spawn(async move {
            let mut budget = RetryBudget::new(allowance);
            let mut counts = BTreeMap::<String, (u64, u64)>::new();
            while let Some(command) = commands.recv().await {
                match command {
                    Command::Deposit(service) => {
                        budget.deposit(&service);
                        counts.entry(service).or_default().0 += 1;
                    }
                    Command::Withdraw(service, answer) => {
                        let granted = budget.withdraw(&service);
                        counts.entry(service).or_default().1 += granted as u64;
                        answer.send(granted).unwrap_or_default();
                    }
                }
                published.store(Arc::new(counts.clone()));
            }
        });
        RetryBudgetHandle {
            commands: sender,
            counts: spent,
        }
    }

    pub fn counts(&self) -> Arc<BTreeMap<String, (u64, u64)>> {
        self.counts.load_full()
    }

    pub async fn deposit(&self, service: &str) {
        self.commands
            .send(Command::Deposit(service.to_string()))
            .await
            .unwrap_or_default();
    }

    pub async fn withdraw(&self, service: &str) -> bool {
        let (answer, granted) = tokio::sync::oneshot::channel();
        self.commands
            .send(Command::Withdraw(service.to_string(), answer))
            .await
            .unwrap_or_default();
        granted.await.unwrap_or(false)
    }
}

#[cfg(test)]
mod tests {
    /// Every window, also one that begins just before a burst and holds no requests at all.
    fn worst(firsts: &[u64], extras: &[u64], allowance: usize) -> Option<(u64, usize, usize)> {
        let inside = |times: &[u64], from: u64| {
            times
                .iter()
                .filter(|time| (from..from + super::WINDOW).contains(time))
                .count()
        };
        let windows = extras
            .iter()
            .map(|from| (*from, inside(extras, *from), inside(firsts, *from)));
        windows
            .filter(|(_, extras, firsts)| *extras > firsts / 5 + allowance)
            .max_by_key(|(_, extras, _)| *extras)
    }

    #[test]
    fn no_ten_seconds_hold_more_extras_than_their_requests_allow() {
        test_support::drawn::<(u8, Vec<(u16, bool)>)>(300, |(restart, steps)| {
            let mut budget = super::RetryBudget::new(2);
            let (mut now, mut firsts, mut extras) = (0u64, Vec::new(), Vec::new());
            steps.iter().enumerate().for_each(|(at, (gap, first))| {
                now += *gap as u64 * 100;
                if at == *restart as usize {
                    // The process begins anew: that is no new allowance.
                    budget = super::RetryBudget::new(2);
                }
                if *first {
                    budget.deposit("seat");
                    firsts.push(now);
                } else if budget.withdraw("seat") {
                    extras.push(now);
                }
            });
            assert_eq!(worst(&firsts, &extras, 2), None);
        });
    }

    #[test]
    fn what_old_requests_earned_is_not_saved_up_for_a_window_without_any() {
        let mut budget = super::RetryBudget::new(1);
        (0..100).for_each(|_| budget.deposit("seat"));
        assert_eq!(
            (0..100).filter(|_| budget.withdraw("seat")).count(),
            1,
            "a hundred requests ago is not now"
        );
        assert!(
            !budget.withdraw("other"),
            "services do not share, and nothing is given before it is earned"
        );
    }
}
