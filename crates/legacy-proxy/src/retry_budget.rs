//! How many retries a node may give a service: one for five requests, and a small allowance that is
//! saved up (design 5.6).
//!
//! Unlike the budget of `outbound`, whose deposits expire, what is earned here lasts, up to the
//! allowance of this node.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use arc_swap::ArcSwap;
use tokio::sync::{mpsc, oneshot};

/// Commands that may wait for the task.
const QUEUE_CAPACITY: usize = 1_024;
/// A fifth of a retry, the smallest amount there is.
type Fifths = u64;
/// One retry.
const RETRY_COST: Fifths = 5;

/// One bucket for each service. Each request earns a fifth of a retry and each retry costs a whole one;
/// time earns nothing, and a new bucket is empty. So the retries in any span are at most a fifth of the
/// requests in it and the allowance. Pure.
#[derive(Default)]
pub struct RetryBudget {
    allowance: Fifths,
    buckets: HashMap<String, Fifths>,
}

impl RetryBudget {
    /// Empty buckets that hold at most `allowance` retries each.
    pub fn new(allowance: usize) -> Self {
        RetryBudget {
            allowance: allowance as Fifths * RETRY_COST,
            buckets: Default::default(),
        }
    }

    /// Counts a request of the service.
    pub fn deposit(&mut self, service: &str) {
        let bucket = self.buckets.entry(service.to_string()).or_default();
        *bucket = (*bucket + 1).min(self.allowance);
    }

    /// Pays for one retry; false, and nothing is paid, if it has not been earned.
    pub fn withdraw(&mut self, service: &str) -> bool {
        let bucket = self.buckets.entry(service.to_string()).or_default();
        let suffices = *bucket >= RETRY_COST;
        *bucket -= if suffices { RETRY_COST } else { 0 };
        suffices
    }
}

enum Command {
    Deposit(String),
    Withdraw(String, oneshot::Sender<bool>),
}

/// A handle on the task that owns the buckets. The task ends with its last handle.
#[derive(Clone)]
pub struct RetryBudgetHandle {
    commands: mpsc::Sender<Command>,
    counts: RetryCounts,
}

/// Requests and retries by service since the start, for status pages.
pub type RetryCounts = Arc<ArcSwap<BTreeMap<String, (u64, u64)>>>;

impl RetryBudgetHandle {
    /// Starts the task, with at most `allowance` retries saved up for each service.
    pub fn start(allowance: usize) -> Self {
        let (commands, mut receiver) = mpsc::channel(QUEUE_CAPACITY);
        let published: RetryCounts = Default::default();
        let counts_of_task = published.clone();
        tokio::spawn(async move {
            let mut budget = RetryBudget::new(allowance);
            let mut counts = BTreeMap::<String, (u64, u64)>::new();
            while let Some(command) = receiver.recv().await {
                match command {
                    Command::Deposit(service) => {
                        budget.deposit(&service);
                        counts.entry(service).or_default().0 += 1;
                    }
                    Command::Withdraw(service, reply) => {
                        let granted = budget.withdraw(&service);
                        counts.entry(service).or_default().1 += granted as u64;
                        reply.send(granted).unwrap_or_default();
                    }
                }
                counts_of_task.store(Arc::new(counts.clone()));
            }
        });
        RetryBudgetHandle {
            commands,
            counts: published,
        }
    }

    /// Requests and retries by service since the start.
    pub fn counts(&self) -> Arc<BTreeMap<String, (u64, u64)>> {
        self.counts.load_full()
    }

    /// Counts a request of the service, which earns it a fifth of a retry.
    pub async fn deposit(&self, service: &str) {
        self.commands
            .send(Command::Deposit(service.to_string()))
            .await
            .unwrap_or_default();
    }

    /// Pays for a retry; false if it has not been earned, or once the task is gone.
    pub async fn withdraw(&self, service: &str) -> bool {
        let (reply, granted) = oneshot::channel();
        self.commands
            .send(Command::Withdraw(service.to_string(), reply))
            .await
            .unwrap_or_default();
        granted.await.unwrap_or(false)
    }
}
