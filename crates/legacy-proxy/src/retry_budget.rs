//! The retry budget of each service on a node: one retry for five requests, saved up to a small
//! allowance (design 5.6).
//!
//! Unlike in the budget of `outbound`, deposits do not expire; the balance is limited by the
//! allowance of this node.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use arc_swap::ArcSwap;
use tokio::sync::{mpsc, oneshot};

/// Capacity of the task's command channel.
const QUEUE_CAPACITY: usize = 1_024;
/// An amount in fifths of a retry, the smallest unit of a budget.
type Fifths = u64;
/// Cost of one retry, in fifths.
const RETRY_COST: Fifths = 5;

/// A token bucket for each service. Each request deposits a fifth of a retry and each retry
/// withdraws a whole one. A new bucket is empty and is not refilled over time. So the number of
/// retries in any time span is at most a fifth of the requests in that span plus the allowance.
#[derive(Default)]
pub struct RetryBudget {
    allowance: Fifths,
    buckets: HashMap<String, Fifths>,
}

impl RetryBudget {
    /// Creates a budget whose buckets hold at most `allowance` retries each.
    pub fn new(allowance: usize) -> Self {
        RetryBudget {
            allowance: allowance as Fifths * RETRY_COST,
            buckets: Default::default(),
        }
    }

    /// Counts a request to the service, which deposits a fifth of a retry.
    pub fn deposit(&mut self, service: &str) {
        let bucket = self.buckets.entry(service.to_string()).or_default();
        *bucket = (*bucket + 1).min(self.allowance);
    }

    /// Withdraws one retry. Returns false and withdraws nothing if the balance is too small.
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

/// Handle on the task that owns the buckets. The task ends when its last handle is dropped.
#[derive(Clone)]
pub struct RetryBudgetHandle {
    commands: mpsc::Sender<Command>,
    counts: RetryCounts,
}

/// Numbers of requests and of retries by service since the start, for status pages.
pub type RetryCounts = Arc<ArcSwap<BTreeMap<String, (u64, u64)>>>;

impl RetryBudgetHandle {
    /// Starts the task with a budget that saves up at most `allowance` retries for each service.
    pub fn start(allowance: usize) -> Self {
        let (commands, mut receiver) = mpsc::channel(QUEUE_CAPACITY);
        let published: RetryCounts = Default::default();
        let task_counts = published.clone();
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
                task_counts.store(Arc::new(counts.clone()));
            }
        });
        RetryBudgetHandle {
            commands,
            counts: published,
        }
    }

    /// Numbers of requests and of retries by service since the start.
    pub fn counts(&self) -> Arc<BTreeMap<String, (u64, u64)>> {
        self.counts.load_full()
    }

    /// Counts a request to the service, which deposits a fifth of a retry.
    pub async fn deposit(&self, service: &str) {
        self.commands
            .send(Command::Deposit(service.to_string()))
            .await
            .unwrap_or_default();
    }

    /// Withdraws one retry. Returns false if the balance is too small or the task has ended.
    pub async fn withdraw(&self, service: &str) -> bool {
        let (reply, granted) = oneshot::channel();
        self.commands
            .send(Command::Withdraw(service.to_string(), reply))
            .await
            .unwrap_or_default();
        granted.await.unwrap_or(false)
    }
}
