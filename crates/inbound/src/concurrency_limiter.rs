//! Admission of requests to the backend's slots (design 13.2, 13.3). One task owns the queue, the
//! running requests and the description of the backend; [`ConcurrencyLimiter`] is the handle of
//! that task.
//!
//! A request passes through these phases: admission, start (as soon as a slot is free), run, and
//! end. A request that is refused before its run starts is certain not to have run.

use std::future;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
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

/// Configuration of a [`ConcurrencyLimiter`].
pub struct ConcurrencyLimiterConfig {
    /// The header names that this site uses.
    pub header_names: HeaderNames,
    /// The number of concurrent runs beyond the backend's slots, so that no slot is idle between
    /// two runs.
    pub extra_runs: u32,
}

type OutcomeSender = oneshot::Sender<ForwardOutcome>;

/// The result of a forwarded request, and the time in microseconds that a request of the lowest
/// priority would currently spend here.
pub type ForwardOutcome = (Result<ForwardedResponse, Error>, Microseconds);

/// The load on the backend's shard keys: the backend's slots; the mean run duration in microseconds
/// and its number of samples; the requests per second for each key range, given by first and last
/// key; the number of requests on which these rates are based; and whether the backend is ejected.
pub type DemandReport = (u32, (Microseconds, u32), Vec<(u16, u16, f32)>, f32, bool);

/// A request with its caller. The id is unique at this node.
struct AdmittedRequest {
    id: u64,
    request: Box<ForwardedRequest>,
    outcome_sender: OutcomeSender,
}

enum Command {
    /// Admit a request with this deadline, and send its outcome to the caller.
    Admit(AdmittedRequest, Microseconds),
    /// Refuse the request with this id if its run has not begun.
    Withdraw(u64),
    /// Refuse all requests whose run has not begun.
    WithdrawAll,
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

/// Handle of the task that owns the backend's slots.
#[derive(Clone)]
pub struct ConcurrencyLimiter {
    commands: mpsc::Sender<Command>,
    next_request_id: Arc<AtomicU64>,
}

/// Capacity of the task's command queue.
const COMMAND_QUEUE_CAPACITY: usize = 4_096;
/// Shortest retry delay that is returned with a refused request, in microseconds.
const MIN_RETRY_AFTER: Microseconds = 100_000;
/// Interval between two checks for expired queued requests while no commands arrive.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(20);

impl ConcurrencyLimiter {
    /// Starts the task. There is no backend until [`set_backend`](Self::set_backend) is called.
    pub fn start(config: ConcurrencyLimiterConfig) -> ConcurrencyLimiter {
        let (commands, receiver) = mpsc::channel(COMMAND_QUEUE_CAPACITY);
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
        ConcurrencyLimiter {
            commands,
            next_request_id: Arc::default(),
        }
    }

    /// Runs a request and waits for its outcome: the response, or an error that states whether the
    /// request may have run. Dropping the future removes a queued request from the queue. It
    /// cancels a run that has started only if the request is idempotent.
    pub async fn perform(&self, request: Box<ForwardedRequest>) -> ForwardOutcome {
        self.perform_unless_withdrawn(request, future::pending())
            .await
    }

    /// Like [`perform`](Self::perform), but once `withdrawn` completes, the request is refused with
    /// [`ErrorKind::ShuttingDown`] if its run has not begun. A run that has begun is completed.
    pub async fn perform_unless_withdrawn(
        &self,
        request: Box<ForwardedRequest>,
        withdrawn: impl Future<Output = ()>,
    ) -> ForwardOutcome {
        let (outcome_sender, mut outcome) = oneshot::channel();
        let deadline = model::now() + request.time_left;
        let id = self.next_request_id.fetch_add(1, Ordering::Relaxed);
        let admitted = AdmittedRequest {
            id,
            request,
            outcome_sender,
        };
        if self
            .commands
            .send(Command::Admit(admitted, deadline))
            .await
            .is_err()
        {
            return (
                Err(Error::new(ErrorKind::ShuttingDown, "this node is stopping")),
                0,
            );
        }
        let outcome = tokio::select! {
            outcome = &mut outcome => outcome,
            () = withdrawn => {
                self.send(Command::Withdraw(id)).await;
                outcome.await
            }
        };
        outcome.unwrap_or_else(|_| {
            (
                Err(Error::new(
                    ErrorKind::PeerLost,
                    "the concurrency limiter task ended before it answered",
                )),
                0,
            )
        })
    }

    /// Sets the backend beside this node and the shard keys that it holds; `None` if there is no
    /// backend.
    pub async fn set_backend(&self, backend: Option<LocalBackend>) {
        self.send(Command::SetBackend(backend)).await;
    }

    /// Refuses all further requests, both from peers and from this node. Queued requests still run.
    pub async fn drain(&self) {
        self.send(Command::Drain).await;
    }

    /// Refuses all requests whose run has not begun with [`ErrorKind::ShuttingDown`], so that their
    /// callers can send them elsewhere.
    pub async fn withdraw_all(&self) {
        self.send(Command::WithdrawAll).await;
    }

    /// Returns the load on the backend's shard keys, in approximately `max_ranges` ranges at most;
    /// `None` if there is no backend or its service is not sharded.
    pub async fn demand(&self, max_ranges: usize) -> Option<DemandReport> {
        let (reply, report) = oneshot::channel();
        self.commands
            .send(Command::Demand(max_ranges, reply))
            .await
            .ok()?;
        report.await.ok().flatten()
    }

    /// Returns the number of running requests, the number of queued requests, and whether the
    /// backend is ejected.
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
    queue: AdmissionQueue<AdmittedRequest>,
    demand: KeyDemand,
    outliers: OutlierDetector,
    draining: bool,
}

impl LimiterTask {
    async fn run(mut self, mut commands: mpsc::Receiver<Command>) {
        loop {
            let has_queued_requests = !self.queue.is_empty();
            tokio::select! {
                command = commands.recv() => match command {
                    Some(command) => self.handle(command),
                    None => return,
                },
                _ = time::sleep(EXPIRY_INTERVAL), if has_queued_requests => self.expire(),
            }
        }
    }

    fn handle(&mut self, command: Command) {
        match command {
            Command::Admit(admitted, deadline) => self.admit(admitted, deadline),
            Command::Withdraw(id) => self.withdraw(|queued| queued.id == id),
            Command::WithdrawAll => self.withdraw(|_| true),
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
            Command::Demand(max_ranges, reply) => drop(reply.send(self.demand_report(max_ranges))),
            Command::Load(reply) => {
                let ejected = self.outliers.is_ejected();
                let load = (self.outliers.running(), self.queue.len(), ejected);
                // The requester may have stopped waiting.
                reply.send(load).unwrap_or_default();
            }
        }
        self.outliers
            .check_overdue(model::now(), self.queue.mean_run_duration());
        self.expire();
        self.start_next();
    }

    fn demand_report(&mut self, max_ranges: usize) -> Option<DemandReport> {
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

    /// Replaces the description of the backend, and refuses queued requests that this backend can
    /// no longer run.
    fn set_backend(&mut self, backend: Option<LocalBackend>) {
        if backend_identity(self.backend.as_ref()) != backend_identity(backend.as_ref()) {
            self.client.clear_connections();
            self.outliers.reset();
        }
        self.backend = backend;
        let now = model::now();
        let refused = self.queue.remove_where(|queued| {
            refusal_reason(self.backend.as_ref(), now, &queued.payload.request).is_some()
        });
        for queued in refused {
            let admitted = queued.payload;
            let reason = refusal_reason(self.backend.as_ref(), now, &admitted.request);
            let reason = reason.unwrap_or_else(|| {
                Error::new(ErrorKind::NoBackend, "the backend is no longer available")
            });
            self.respond(admitted.outcome_sender, Err(reason));
        }
    }

    /// Refuses the matching requests that still wait for a slot; they are certain not to have run.
    fn withdraw(&mut self, is_withdrawn: impl Fn(&AdmittedRequest) -> bool) {
        let withdrawn = self
            .queue
            .remove_where(|queued| is_withdrawn(&queued.payload));
        for queued in withdrawn {
            let error = Error::new(
                ErrorKind::ShuttingDown,
                "the request was withdrawn before its run, as a node is stopping",
            );
            self.respond(queued.payload.outcome_sender, Err(error));
        }
    }

    /// Returns the number of requests that may run concurrently.
    fn max_concurrent_runs(&self) -> usize {
        let backend = self.backend.as_ref();
        backend
            .map(|backend| backend.slots + self.config.extra_runs)
            .unwrap_or(0) as usize
    }

    fn expected_wait(&self, priority: u8) -> Microseconds {
        let running = self.outliers.running();
        self.queue
            .expected_wait(model::now(), priority, running, self.max_concurrent_runs())
    }

    /// Returns the time that is reported to selecting nodes: the expected wait and half of a mean
    /// run. Only half of a run is counted, so that a slow backend is avoided only if a faster one
    /// is nearby.
    fn reported_wait(&self) -> Microseconds {
        let (mean_run_duration, _) = self.queue.mean_run_duration();
        self.expected_wait(u8::MAX) + mean_run_duration / 2
    }

    fn respond(&self, outcome_sender: OutcomeSender, result: Result<ForwardedResponse, Error>) {
        drop(outcome_sender.send((result, self.reported_wait())));
    }

    /// Queues a request or refuses it immediately.
    fn admit(&mut self, admitted: AdmittedRequest, deadline: Microseconds) {
        let now = model::now();
        let request = &admitted.request;
        if self.draining {
            let error = Error::new(ErrorKind::ShuttingDown, "this node is stopping");
            return self.respond(admitted.outcome_sender, Err(error));
        }
        if let Some(reason) = refusal_reason(self.backend.as_ref(), now, request) {
            return self.respond(admitted.outcome_sender, Err(reason));
        }
        if let Some(retry_after) = self.ejection_retry_after(now, request) {
            let error = Error::new(
                ErrorKind::BackendEjected,
                "outlier detection ejected the backend",
            );
            let error = error.with_retry_after(retry_after);
            return drop(admitted.outcome_sender.send((Err(error), retry_after)));
        }
        if let Some(shard_key) = request.shard_key {
            self.demand.record(now, shard_key);
        }
        let wait = self.expected_wait(request.priority);
        let respond_by = now + request.latency_target;
        // A request that cannot meet its latency target is refused immediately, with a retry delay.
        if wait > self.queue.longest_acceptable_wait(now, respond_by) {
            let error = overloaded_error(deadline - now, wait);
            return self.respond(admitted.outcome_sender, Err(error));
        }
        let queued = QueuedRequest {
            priority: request.priority,
            queued_at: now,
            deadline,
            respond_by,
            payload: admitted,
        };
        self.queue.push(now, queued);
    }

    /// Returns the retry delay for a request that is refused because the backend is ejected.
    /// Requests with a shard key are never refused for this reason: shard placement moves the key
    /// instead (design 13.8).
    fn ejection_retry_after(
        &self,
        now: Microseconds,
        request: &ForwardedRequest,
    ) -> Option<Microseconds> {
        let retry_after = self
            .outliers
            .ejection_retry_after(now, request.idempotent)?;
        (request.shard_key.is_none() && !request.ignore_ejection).then_some(retry_after)
    }

    /// Refuses queued requests that have waited too long for a slot.
    fn expire(&mut self) {
        let now = model::now();
        for expired in self.queue.expire(now) {
            let error = overloaded_error(expired.deadline.saturating_sub(now), 0);
            self.respond(expired.payload.outcome_sender, Err(error));
        }
    }

    /// Starts queued requests while the limit on concurrent runs allows.
    fn start_next(&mut self) {
        while self.outliers.running() < self.max_concurrent_runs() {
            let now = model::now();
            let Some(next) = self.queue.pop(now) else {
                return;
            };
            let AdmittedRequest {
                request,
                outcome_sender,
                ..
            } = next.payload;
            if outcome_sender.is_closed() {
                // The caller has stopped waiting, so the request is never started.
                continue;
            }
            match refusal_reason(self.backend.as_ref(), now, &request) {
                Some(reason) => self.respond(outcome_sender, Err(reason)),
                None => self.start_run(request, next.deadline, outcome_sender),
            }
        }
    }

    /// Runs a request in a separate task, which reports the end of the run to this one.
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
        let (reported_wait, started_at) = (self.reported_wait(), model::now());
        tokio::spawn(async move {
            let time_left = deadline.saturating_sub(started_at);
            let run = client.forward(&address, &request, time_left);
            let run = time::timeout(Duration::from_micros(time_left), run);
            let timed_out_error = |detail: &str| Err(Error::new(ErrorKind::TimedOut, detail));
            let result = tokio::select! {
                completed = run => completed.unwrap_or_else(|_| {
                    timed_out_error("the backend did not answer before the deadline")
                }),
                // Only an idempotent run is cancelled; the backend completes any other.
                () = outcome_sender.closed(), if request.idempotent => {
                    timed_out_error("the caller stopped waiting")
                }
            };
            let duration = result.is_ok().then(|| model::now() - started_at);
            let run_ended = Command::RunEnded {
                run_id,
                duration,
                result: classify_run(&result),
            };
            drop(commands.send(run_ended).await);
            drop(outcome_sender.send((result, reported_wait)));
        });
    }
}

/// Returns the name and address, which distinguish a backend from a successor beside the same node.
fn backend_identity(backend: Option<&LocalBackend>) -> Option<(&str, &str)> {
    backend.map(|backend| (backend.name.as_str(), backend.address.as_str()))
}

/// Builds an overload error whose retry delay leaves time for another attempt before the deadline.
/// The delay is randomized so that refused clients do not all retry at the same time.
fn overloaded_error(time_left: Microseconds, wait: Microseconds) -> Error {
    let latest = (time_left / 3).max(MIN_RETRY_AFTER);
    let retry_after = wait.max(time_left / 8).clamp(MIN_RETRY_AFTER, latest);
    let spread = retry_after * (80 + rand::random::<u64>() % 21) / 100;
    Error::new(ErrorKind::Overloaded, "the wait for a slot is too long").with_retry_after(spread)
}

/// Returns why the backend cannot run the request at `now`; `None` if it can. A refused request is
/// certain not to have run.
fn refusal_reason(
    backend: Option<&LocalBackend>,
    now: Microseconds,
    request: &ForwardedRequest,
) -> Option<Error> {
    let Some(backend) = backend.filter(|backend| backend.name == request.backend) else {
        let detail = "the requested backend is not beside this node";
        return Some(Error::new(ErrorKind::WrongIncarnation, detail));
    };
    if !backend.accepts_requests(now) {
        return Some(Error::new(
            ErrorKind::Draining,
            "the backend accepts no new requests",
        ));
    }
    let (shard_key, held_keys) = request.shard_key.zip(backend.held_keys.as_ref())?;
    let detail = "the backend does not hold the shard key";
    (!held_keys.holds(now, shard_key)).then(|| Error::new(ErrorKind::KeyWithoutHolder, detail))
}
