//! The one owner of the back end's slots: a command queue in, runs out (design 13.2, 13.3).

use crate::{AdmissionQueue, LocalBackend, QueuedRequest};
use model::{Error, ErrorKind, Microseconds};
use std::sync::Arc;
use std::time::Duration;

pub struct ConcurrencyLimiterConfig {
    pub header_names: http_util::headers::HeaderNames,
    /// Runs given to the back end beyond its slots, so that none stands empty between two.
    pub extra_runs: u32,
}

type OutcomeSender = tokio::sync::oneshot::Sender<Outcome>;
/// What came of it, and how long a request of the least rank would wait here now.
pub type Outcome = (Result<transport::ForwardedResponse, Error>, Microseconds);

enum Command {
    Admit(
        Box<transport::ForwardedRequest>,
        Microseconds,
        OutcomeSender,
    ),
    RunEnded {
        run_id: u64,
        duration: Option<Microseconds>,
        result: crate::RunResult,
    },
    SetBackend(Option<LocalBackend>),
    Drain,
    Load(tokio::sync::oneshot::Sender<(usize, usize, bool)>),
    Demand(usize, tokio::sync::oneshot::Sender<Option<DemandReport>>),
}

/// Slots, the mean run and of how many, the requests a second on ranges of keys, how many requests say so, and whether
/// the back end is ill.
pub type DemandReport = (u32, (Microseconds, u32), Vec<(u16, u16, f32)>, f32, bool);

#[derive(Clone)]
pub struct ConcurrencyLimiter(tokio::sync::mpsc::Sender<Command>);

struct LimiterTask {
    config: ConcurrencyLimiterConfig,
    commands: tokio::sync::mpsc::Sender<Command>,
    client: Arc<crate::BackendClient>,
    backend: Option<LocalBackend>,
    queue: AdmissionQueue<(Box<transport::ForwardedRequest>, OutcomeSender)>,
    demand: crate::KeyDemand,
    outliers: crate::OutlierDetector,
    draining: bool,
}

/// When a refused request may come again, at least.
const MIN_RETRY_AFTER: Microseconds = 100_000;
/// Between two looks at who was held too long, while nothing else happens.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(20);

impl ConcurrencyLimiter {
    pub fn start(env: ConcurrencyLimiterConfig) -> ConcurrencyLimiter {
        let (commands, mut buffer) = tokio::sync::mpsc::channel(4_096);
        let door = Arc::new(crate::BackendClient::new(env.header_names.clone()));
        let mut owner = LimiterTask {
            config: env,
            commands: commands.clone(),
            client: door,
            backend: None,
            queue: Default::default(),
            demand: Default::default(),
            outliers: Default::default(),
            draining: false,
        };
        tokio::spawn(async move {
            loop {
                let waits = !owner.queue.is_empty();
                tokio::select! {
                    command = buffer.recv() => match command {
                        Some(command) => owner.handle(command),
                        None => return,
                    },
                    _ = tokio::time::sleep(EXPIRY_INTERVAL), if waits => owner.expire(),
                }
            }
        });
        ConcurrencyLimiter(commands)
    }

    /// Returns with the answer, or with why there is none and whether it may have run.
    pub async fn perform(&self, cue: Box<transport::ForwardedRequest>) -> Outcome {
        let (answer, outcome) = tokio::sync::oneshot::channel();
        let until = model::now() + cue.time_left;
        let gone = || {
            (
                Err(Error::new(ErrorKind::ShuttingDown, "this node is stopping")),
                0,
            )
        };
        if self
            .0
            .send(Command::Admit(cue, until, answer))
            .await
            .is_err()
        {
            return gone();
        }
        outcome.await.unwrap_or_else(|_| {
            (
                Err(Error::new(
                    ErrorKind::PeerLost,
                    "the owner of the back end's slots is gone",
                )),
                0,
            )
        })
    }

    pub async fn set_backend(&self, local: Option<LocalBackend>) {
        self.0
            .send(Command::SetBackend(local))
            .await
            .unwrap_or_default();
    }

    /// Takes nothing new from mates or from here.
    pub async fn drain(&self) {
        self.0.send(Command::Drain).await.unwrap_or_default();
    }

    /// What the back end's keys are asked for, in at most about so many ranges; none without keys.
    pub async fn demand(&self, most: usize) -> Option<DemandReport> {
        let (answer, asked) = tokio::sync::oneshot::channel();
        self.0.send(Command::Demand(most, answer)).await.ok()?;
        asked.await.ok().flatten()
    }

    /// Running and waiting, and whether the back end is ill.
    pub async fn load(&self) -> (usize, usize, bool) {
        let (answer, load) = tokio::sync::oneshot::channel();
        self.0.send(Command::Load(answer)).await.unwrap_or_default();
        load.await.unwrap_or_default()
    }
}

impl LimiterTask {
    fn handle(&mut self, command: Command) {
        match command {
            Command::Admit(cue, until, answer) => self.admit(cue, until, answer),
            Command::RunEnded {
                run_id: number,
                duration: took,
                result: ended,
            } => {
                self.outliers.run_ended(model::now(), number, ended);
                took.into_iter()
                    .for_each(|took| self.queue.record_run(took));
            }
            Command::SetBackend(local) => self.set_backend(local),
            Command::Drain => self.draining = true,
            Command::Demand(most, answer) => {
                let local = self.backend.as_ref().and_then(|local| {
                    local
                        .held_keys
                        .as_ref()
                        .map(|holding| (local.slots, holding.ranges.clone()))
                });
                let asked = local.map(|(slots, rows)| {
                    let (ranges, seen) = self.demand.report(model::now(), &rows, most);
                    (
                        slots,
                        self.queue.mean_run(),
                        ranges,
                        seen,
                        self.outliers.is_ejected(),
                    )
                });
                drop(answer.send(asked));
            }
            Command::Load(answer) => drop(answer.send((
                self.outliers.running(),
                self.queue.len(),
                self.outliers.is_ejected(),
            ))),
        }
        self.outliers
            .check_overdue(model::now(), self.queue.mean_run());
        self.expire();
        self.start_next();
    }

    fn set_backend(&mut self, local: Option<LocalBackend>) {
        if self
            .backend
            .as_ref()
            .map(|held| (&held.name, &held.address))
            != local.as_ref().map(|held| (&held.name, &held.address))
        {
            self.client.clear_connections();
            self.outliers.reset();
        }
        self.backend = local;
        let now = model::now();
        let gone = self.queue.remove_where(|waiting| {
            refusal_reason(self.backend.as_ref(), now, &waiting.payload.0).is_some()
        });
        gone.into_iter().for_each(|waiting| {
            let why = refusal_reason(self.backend.as_ref(), now, &waiting.payload.0)
                .unwrap_or_else(|| Error::new(ErrorKind::NoBackend, "gone"));
            self.respond(waiting.payload.1, Err(why));
        });
    }

    fn slots(&self) -> usize {
        self.backend
            .as_ref()
            .map(|local| local.slots + self.config.extra_runs)
            .unwrap_or(0) as usize
    }

    fn expected_wait(&self, rank: u8) -> Microseconds {
        self.queue
            .expected_wait(model::now(), rank, self.outliers.running(), self.slots())
    }

    /// What a request would spend here, for those who pick: the wait, and half of a run, as a slow back end is worth
    /// leaving for a faster one only where that is near.
    fn reported_wait(&self) -> Microseconds {
        self.expected_wait(u8::MAX) + self.queue.mean_run().0 / 2
    }

    fn respond(&self, answer: OutcomeSender, outcome: Result<transport::ForwardedResponse, Error>) {
        drop(answer.send((outcome, self.reported_wait())));
    }

    fn admit(
        &mut self,
        cue: Box<transport::ForwardedRequest>,
        until: Microseconds,
        answer: OutcomeSender,
    ) {
        let now = model::now();
        if self.draining {
            return self.respond(
                answer,
                Err(Error::new(ErrorKind::ShuttingDown, "this node is stopping")),
            );
        }
        if let Some(trouble) = refusal_reason(self.backend.as_ref(), now, &cue) {
            return self.respond(answer, Err(trouble));
        }
        // Whoever holds a key cannot be passed over here: the placing of keys does that (design 13.8).
        if let Some(elsewhere) = self
            .outliers
            .declines(now, cue.idempotent)
            .filter(|_| cue.shard_key.is_none() && !cue.force)
        {
            return drop(
                answer.send((
                    Err(
                        Error::new(ErrorKind::PassedOver, "its runs come to nothing")
                            .with_retry_after(elsewhere),
                    ),
                    elsewhere,
                )),
            );
        }
        cue.shard_key
            .into_iter()
            .for_each(|key| self.demand.record(now, key));
        let wait = self.expected_wait(cue.priority);
        // What cannot be answered in time is told at once, with when to come back.
        if wait
            > self
                .queue
                .longest_acceptable_wait(now, now + cue.latency_target)
        {
            return self.respond(answer, Err(overloaded(until - now, wait)));
        }
        let waiting = QueuedRequest {
            priority: cue.priority,
            queued_at: now,
            deadline: until,
            respond_by: now + cue.latency_target,
            payload: (cue, answer),
        };
        self.queue.push(now, waiting);
    }

    fn expire(&mut self) {
        let now = model::now();
        self.queue.expire(now).into_iter().for_each(|late| {
            self.respond(
                late.payload.1,
                Err(overloaded(late.deadline.saturating_sub(now), 0)),
            )
        });
    }

    fn start_next(&mut self) {
        while self.outliers.running() < self.slots() {
            let now = model::now();
            let Some(next) = self.queue.pop(now) else {
                return;
            };
            let (cue, answer) = next.payload;
            if answer.is_closed() {
                // Its caller is gone: it never begins.
                continue;
            }
            match refusal_reason(self.backend.as_ref(), now, &cue) {
                Some(trouble) => self.respond(answer, Err(trouble)),
                None => self.start_run(cue, next.deadline, answer),
            }
        }
    }

    fn start_run(
        &mut self,
        cue: Box<transport::ForwardedRequest>,
        until: Microseconds,
        mut answer: OutcomeSender,
    ) {
        let Some(address) = self.backend.as_ref().map(|local| local.address.clone()) else {
            return;
        };
        let number = self.outliers.run_started(model::now());
        let (door, commands, wait, began) = (
            self.client.clone(),
            self.commands.clone(),
            self.reported_wait(),
            model::now(),
        );
        tokio::spawn(async move {
            let left = until.saturating_sub(began);
            let ran = tokio::time::timeout(
                Duration::from_micros(left),
                door.forward(&address, &cue, left),
            );
            let outcome = tokio::select! {
                ran = ran => ran.unwrap_or_else(|_| Err(Error::new(ErrorKind::TimedOut, "no answer within the wait"))),
                // What may run again may as well be broken off; anything else the back end ends in its own way.
                () = answer.closed(), if cue.idempotent => Err(Error::new(ErrorKind::TimedOut, "nobody waits for it any more")),
            };
            let took = outcome.is_ok().then(|| model::now() - began);
            drop(
                commands
                    .send(Command::RunEnded {
                        run_id: number,
                        duration: took,
                        result: crate::outlier_detection::classify_run(&outcome),
                    })
                    .await,
            );
            drop(answer.send((outcome, wait)));
        });
    }
}

/// Come back once the wait is shorter, but while there is time left for it; not all at the same moment.
fn overloaded(left: Microseconds, wait: Microseconds) -> Error {
    let back = wait
        .max(left / 8)
        .clamp(MIN_RETRY_AFTER, (left / 3).max(MIN_RETRY_AFTER));
    let spread = back * (80 + rand::random::<u64>() % 21) / 100;
    Error::new(ErrorKind::Overloaded, "it would wait too long").with_retry_after(spread)
}

/// Why this back end is not to be given the request now; certain not to have run.
fn refusal_reason(
    local: Option<&LocalBackend>,
    now: Microseconds,
    cue: &transport::ForwardedRequest,
) -> Option<Error> {
    let Some(local) = local.filter(|local| local.name == cue.backend) else {
        return Some(Error::new(
            ErrorKind::WrongIncarnation,
            "that back end is not beside this node",
        ));
    };
    if !local.accepts_requests(now) {
        return Some(Error::new(
            ErrorKind::Draining,
            "the back end takes nothing new",
        ));
    }
    let unheld = cue
        .shard_key
        .zip(local.held_keys.as_ref())
        .is_some_and(|(key, holding)| !holding.holds(now, key));
    unheld.then(|| {
        Error::new(
            ErrorKind::KeyWithoutHolder,
            "the back end does not hold the key now",
        )
    })
}
