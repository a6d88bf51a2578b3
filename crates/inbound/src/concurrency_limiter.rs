//! Admission to the backend's slots (design 13.2, 13.3). One task owns the queue, the runs and what is
//! known of the backend; a [`ConcurrencyLimiter`] is the handle on it.
//!
//! A request passes these phases, each a method of the task: admit, start (as soon as a slot is free),
//! run, and end. Until a run starts every refusal is certain not to have run.

use std::sync::Arc;
use std::time::Duration;

use http_util::headers::HeaderNames;
use model::{Error, ErrorKind, Microseconds};
use tokio::sync::{mpsc, oneshot};
use tokio::time;
use transport::{ForwardedRequest, ForwardedResponse};

use crate::outlier_detection::classify_run;
use crate::{
    AdmissionQueue, BackendClient, KeyDemand, LocalBackend, OutlierDetector, QueuedRequest,
    RunResult,
};

/// What a limiter is set to.
pub struct ConcurrencyLimiterConfig {
    /// The header names of this site.
    pub header_names: HeaderNames,
    /// Runs given to the backend beyond its slots, so that no slot stands empty between two.
    pub extra_runs: u32,
}

type OutcomeSender = oneshot::Sender<ForwardOutcome>;

/// What came of a request, and how long, in microseconds, a request of the least priority would wait
/// here now.
pub type ForwardOutcome = (Result<ForwardedResponse, Error>, Microseconds);

/// What the backend's keys are asked for: its slots; the mean run in microseconds and of how many
/// runs it is; the requests a second on ranges of keys, from first to last; how many requests that is
/// gathered from; and whether the backend is ejected.
pub type DemandReport = (u32, (Microseconds, u32), Vec<(u16, u16, f32)>, f32, bool);

enum Command {
    /// A request, its deadline, and who waits for the outcome.
    Admit(Box<ForwardedRequest>, Microseconds, OutcomeSender),
    RunEnded {
        run_id: u64,
        duration: Option<Microseconds>,
        result: RunResult,
    },
    SetBackend(Option<LocalBackend>),
    Drain,
    Load(oneshot::Sender<(usize, usize, bool)>),
    Demand(usize, oneshot::Sender<Option<DemandReport>>),
}

/// A handle on the task that owns the backend's slots.
#[derive(Clone)]
pub struct ConcurrencyLimiter {
    commands: mpsc::Sender<Command>,
}

/// Commands that may wait for the task.
const QUEUE_CAPACITY: usize = 4_096;
/// A refused request is not to come back sooner than after 100 ms.
const MIN_RETRY_AFTER: Microseconds = 100_000;
/// Between two looks at requests that waited too long, while nothing else happens.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(20);

impl ConcurrencyLimiter {
    /// Starts the task, without a backend yet.
    pub fn start(config: ConcurrencyLimiterConfig) -> ConcurrencyLimiter {
        let (commands, receiver) = mpsc::channel(QUEUE_CAPACITY);
        let task = LimiterTask {
            client: Arc::new(BackendClient::new(config.header_names.clone())),
            config,
            commands: commands.clone(),
            backend: None,
            queue: AdmissionQueue::default(),
            demand: KeyDemand::default(),
            outliers: OutlierDetector::default(),
            draining: false,
        };
        tokio::spawn(task.run(receiver));
        ConcurrencyLimiter { commands }
    }

    /// Has a request run and waits for its outcome: the response, or why there is none and whether
    /// the request may have run. Dropping the future takes the request out of the queue; a run is
    /// broken off if the request is idempotent.
    pub async fn perform(&self, request: Box<ForwardedRequest>) -> ForwardOutcome {
        let (outcome_sender, outcome) = oneshot::channel();
        let deadline = model::now() + request.time_left;
        let command = Command::Admit(request, deadline, outcome_sender);
        if self.commands.send(command).await.is_err() {
            return (
                Err(Error::new(ErrorKind::ShuttingDown, "this node is stopping")),
                0,
            );
        }
        outcome.await.unwrap_or_else(|_| {
            (
                Err(Error::new(
                    ErrorKind::PeerLost,
                    "the owner of the backend's slots is gone",
                )),
                0,
            )
        })
    }

    /// Says which backend is beside this node, with what it holds; `None` if there is none.
    pub async fn set_backend(&self, backend: Option<LocalBackend>) {
        self.send(Command::SetBackend(backend)).await;
    }

    /// Refuses all requests from now on, from peers as from this node. Queued ones still run.
    pub async fn drain(&self) {
        self.send(Command::Drain).await;
    }

    /// What the backend's keys are asked for, in at most about so many ranges; `None` without a
    /// backend or if its service is not divided by key.
    pub async fn demand(&self, max_ranges: usize) -> Option<DemandReport> {
        let (reply, report) = oneshot::channel();
        self.commands
            .send(Command::Demand(max_ranges, reply))
            .await
            .ok()?;
        report.await.ok().flatten()
    }

    /// How many requests run, how many are queued, and whether the backend is ejected.
    pub async fn load(&self) -> (usize, usize, bool) {
        let (reply, load) = oneshot::channel();
        self.send(Command::Load(reply)).await;
        load.await.unwrap_or_default()
    }

    async fn send(&self, command: Command) {
        self.commands.send(command).await.unwrap_or_default();
    }
}

struct LimiterTask {
    config: ConcurrencyLimiterConfig,
    commands: mpsc::Sender<Command>,
    client: Arc<BackendClient>,
    backend: Option<LocalBackend>,
    queue: AdmissionQueue<(Box<ForwardedRequest>, OutcomeSender)>,
    demand: KeyDemand,
    outliers: OutlierDetector,
    draining: bool,
}

impl LimiterTask {
    async fn run(mut self, mut commands: mpsc::Receiver<Command>) {
        loop {
            let some_wait = !self.queue.is_empty();
            tokio::select! {
                command = commands.recv() => match command {
                    Some(command) => self.handle(command),
                    None => return,
                },
                _ = time::sleep(EXPIRY_INTERVAL), if some_wait => self.expire(),
            }
        }
    }

    fn handle(&mut self, command: Command) {
        match command {
            Command::Admit(request, deadline, outcome_sender) => {
                self.admit(request, deadline, outcome_sender);
            }
            Command::RunEnded {
                run_id,
                duration,
                result,
            } => {
                self.outliers.run_ended(model::now(), run_id, result);
                if let Some(duration) = duration {
                    self.queue.record_run_duration(duration);
                }
            }
            Command::SetBackend(backend) => self.set_backend(backend),
            Command::Drain => self.draining = true,
            Command::Demand(max_ranges, reply) => drop(reply.send(self.report_demand(max_ranges))),
            Command::Load(reply) => {
                let ejected = self.outliers.is_ejected();
                let load = (self.outliers.running(), self.queue.len(), ejected);
                // Whoever asked may be gone.
                reply.send(load).unwrap_or_default();
            }
        }
        self.outliers
            .check_overdue(model::now(), self.queue.mean_run_duration());
        self.expire();
        self.start_next();
    }

    fn report_demand(&mut self, max_ranges: usize) -> Option<DemandReport> {
        let backend = self.backend.as_ref()?;
        let held_keys = backend.held_keys.as_ref()?;
        let (ranges, requests) = self
            .demand
            .report(model::now(), &held_keys.ranges, max_ranges);
        let ejected = self.outliers.is_ejected();
        Some((
            backend.slots,
            self.queue.mean_run_duration(),
            ranges,
            requests,
            ejected,
        ))
    }

    /// Takes over what is known of the backend, and refuses what it is no longer to be given.
    fn set_backend(&mut self, backend: Option<LocalBackend>) {
        if identity(self.backend.as_ref()) != identity(backend.as_ref()) {
            self.client.clear_connections();
            self.outliers.reset();
        }
        self.backend = backend;
        let now = model::now();
        let refused = self.queue.remove_where(|queued| {
            refusal_reason(self.backend.as_ref(), now, &queued.payload.0).is_some()
        });
        for queued in refused {
            let (request, outcome_sender) = queued.payload;
            let reason = refusal_reason(self.backend.as_ref(), now, &request)
                .unwrap_or_else(|| Error::new(ErrorKind::NoBackend, "gone"));
            self.respond(outcome_sender, Err(reason));
        }
    }

    fn slots(&self) -> usize {
        let backend = self.backend.as_ref();
        backend
            .map(|backend| backend.slots + self.config.extra_runs)
            .unwrap_or(0) as usize
    }

    fn expected_wait(&self, priority: u8) -> Microseconds {
        let running = self.outliers.running();
        self.queue
            .expected_wait(model::now(), priority, running, self.slots())
    }

    /// What a request would spend here, for those who select: the wait and half of a run. A slow
    /// backend is worth leaving for a faster one only where that is near.
    fn reported_wait(&self) -> Microseconds {
        let (mean_run_duration, _) = self.queue.mean_run_duration();
        self.expected_wait(u8::MAX) + mean_run_duration / 2
    }

    fn respond(&self, outcome_sender: OutcomeSender, result: Result<ForwardedResponse, Error>) {
        drop(outcome_sender.send((result, self.reported_wait())));
    }

    /// Queues a request, or refuses it at once.
    fn admit(
        &mut self,
        request: Box<ForwardedRequest>,
        deadline: Microseconds,
        outcome_sender: OutcomeSender,
    ) {
        let now = model::now();
        if self.draining {
            let error = Error::new(ErrorKind::ShuttingDown, "this node is stopping");
            return self.respond(outcome_sender, Err(error));
        }
        if let Some(reason) = refusal_reason(self.backend.as_ref(), now, &request) {
            return self.respond(outcome_sender, Err(reason));
        }
        if let Some(retry_after) = self.passed_over_for(now, &request) {
            let error = Error::new(ErrorKind::BackendEjected, "its runs come to nothing");
            let error = error.with_retry_after(retry_after);
            return drop(outcome_sender.send((Err(error), retry_after)));
        }
        if let Some(shard_key) = request.shard_key {
            self.demand.record(now, shard_key);
        }
        let wait = self.expected_wait(request.priority);
        let respond_by = now + request.latency_target;
        // What cannot be answered in time is refused at once, with when to come back.
        if wait > self.queue.longest_acceptable_wait(now, respond_by) {
            return self.respond(outcome_sender, Err(overloaded(deadline - now, wait)));
        }
        let queued = QueuedRequest {
            priority: request.priority,
            queued_at: now,
            deadline,
            respond_by,
            payload: (request, outcome_sender),
        };
        self.queue.push(now, queued);
    }

    /// For how long the request is to go elsewhere, as the backend is ejected. The holder of a shard
    /// key is never passed over: placement moves the key instead (design 13.8).
    fn passed_over_for(
        &self,
        now: Microseconds,
        request: &ForwardedRequest,
    ) -> Option<Microseconds> {
        let declined_for = self
            .outliers
            .ejection_retry_after(now, request.idempotent)?;
        (request.shard_key.is_none() && !request.force).then_some(declined_for)
    }

    fn expire(&mut self) {
        let now = model::now();
        for expired in self.queue.expire(now) {
            let (_, outcome_sender) = expired.payload;
            let error = overloaded(expired.deadline.saturating_sub(now), 0);
            self.respond(outcome_sender, Err(error));
        }
    }

    /// Starts queued requests while there are free slots.
    fn start_next(&mut self) {
        while self.outliers.running() < self.slots() {
            let now = model::now();
            let Some(next) = self.queue.pop(now) else {
                return;
            };
            let (request, outcome_sender) = next.payload;
            if outcome_sender.is_closed() {
                // Its caller is gone: it never begins.
                continue;
            }
            match refusal_reason(self.backend.as_ref(), now, &request) {
                Some(reason) => self.respond(outcome_sender, Err(reason)),
                None => self.start_run(request, next.deadline, outcome_sender),
            }
        }
    }

    /// Runs a request in a task of its own, which reports the end of the run here.
    fn start_run(
        &mut self,
        request: Box<ForwardedRequest>,
        deadline: Microseconds,
        mut outcome_sender: OutcomeSender,
    ) {
        let Some(address) = self.backend.as_ref().map(|backend| backend.address.clone()) else {
            return;
        };
        let run_id = self.outliers.run_started(model::now());
        let (client, commands) = (self.client.clone(), self.commands.clone());
        let (reported_wait, began) = (self.reported_wait(), model::now());
        tokio::spawn(async move {
            let time_left = deadline.saturating_sub(began);
            let run = client.forward(&address, &request, time_left);
            let run = time::timeout(Duration::from_micros(time_left), run);
            let timed_out = |detail: &str| Err(Error::new(ErrorKind::TimedOut, detail));
            let result = tokio::select! {
                ended = run => ended.unwrap_or_else(|_| timed_out("no answer within the wait")),
                // An idempotent run may as well be broken off; any other the backend ends itself.
                () = outcome_sender.closed(), if request.idempotent => {
                    timed_out("nobody waits for it any more")
                }
            };
            let duration = result.is_ok().then(|| model::now() - began);
            let ended = Command::RunEnded {
                run_id,
                duration,
                result: classify_run(&result),
            };
            drop(commands.send(ended).await);
            drop(outcome_sender.send((result, reported_wait)));
        });
    }
}

/// What tells one backend from another in the same place.
fn identity(backend: Option<&LocalBackend>) -> Option<(&str, &str)> {
    backend.map(|backend| (backend.name.as_str(), backend.address.as_str()))
}

/// Come back once the wait is shorter, but while there is time left for it; not all at the same
/// moment.
fn overloaded(time_left: Microseconds, wait: Microseconds) -> Error {
    let latest = (time_left / 3).max(MIN_RETRY_AFTER);
    let retry_after = wait.max(time_left / 8).clamp(MIN_RETRY_AFTER, latest);
    let spread = retry_after * (80 + rand::random::<u64>() % 21) / 100;
    Error::new(ErrorKind::Overloaded, "it would wait too long").with_retry_after(spread)
}

/// Why this backend is not to be given the request now; certain not to have run.
fn refusal_reason(
    backend: Option<&LocalBackend>,
    now: Microseconds,
    request: &ForwardedRequest,
) -> Option<Error> {
    let Some(backend) = backend.filter(|backend| backend.name == request.backend) else {
        let detail = "that backend is not beside this node";
        return Some(Error::new(ErrorKind::WrongIncarnation, detail));
    };
    if !backend.accepts_requests(now) {
        return Some(Error::new(
            ErrorKind::Draining,
            "the backend takes nothing new",
        ));
    }
    let (shard_key, held_keys) = request.shard_key.zip(backend.held_keys.as_ref())?;
    let detail = "the backend does not hold the key now";
    (!held_keys.holds(now, shard_key)).then(|| Error::new(ErrorKind::KeyWithoutHolder, detail))
}
