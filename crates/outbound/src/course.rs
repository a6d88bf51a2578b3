//! One request from end to end: its lane, whom it goes to, whether it may go again (design 13.5).

use model::{Cause, Micros, Trouble, Verdict};

#[derive(Clone)]
pub struct Apron {
    pub node: String,
    pub zone: String,
    /// The service of this machine: whoever begins a request here speaks for it.
    pub service: String,
    pub outlook: control::SharedOutlook,
    pub pit: inbound::Pit,
    pub mates: crate::Mates,
    pub picks: crate::Picks,
    pub calls: crate::Calls,
    pub logger: slog::Logger,
}

pub struct Ask {
    pub host: String,
    pub method: String,
    /// Path and query as they were sent.
    pub target: String,
    pub headers: transport::Headers,
    pub body: Vec<u8>,
    pub try_id: String,
    pub key: Option<u16>,
    /// How long the sender waits, from `at`.
    pub wait: Option<Micros>,
    pub at: Micros,
}

/// Between two looks at who holds a key that is on its way from one to another.
const LOOK_AGAIN: std::time::Duration = std::time::Duration::from_millis(15);
/// Back ends that pass a request over before one has to take it.
const PASSED: u8 = 2;
/// How much later than the wait a mate's last word may come.
const STANDS_STILL: Micros = 50_000;
/// Where an operator names no aim.
const AIM: Micros = 1_000_000;

impl Apron {
    pub async fn perform(&self, ask: Ask) -> Result<transport::Take, Trouble> {
        let _under_way = self.calls.begin().ok_or_else(|| Trouble::new(Cause::Leaving, "this node is stopping").later(1_000_000))?;
        let outlook = self.outlook.load_full();
        if outlook.proved == 0 || !outlook.programme.has_lanes() {
            return Err(Trouble::new(Cause::NotFresh, "nothing is known yet of what is to be served").later(300_000));
        }
        let path = ask.target.split('?').next().unwrap_or_default();
        let item = outlook.programme.lane(&ask.host, path).cloned();
        let item = item.ok_or_else(|| Trouble::new(Cause::NoLane, "no lane begins this path on this host"))?;
        let lane = &item.2;
        let service = share(lane, &ask.try_id);
        let aim = if lane.aim_us == 0 { AIM } else { lane.aim_us };
        let until = ask.at + ask.wait.unwrap_or(lane.wait_us).min(lane.wait_us);
        // Whoever is refused hears it within a quarter of the aim, and may come again in time.
        let patience = ask.at + aim / 4;
        self.picks.earn(&service).await;
        let mut cue = Box::new(transport::Cue {
            back_end: String::new(),
            caller: self.service.clone(),
            method: ask.method,
            target: ask.target,
            headers: ask.headers,
            body: ask.body,
            key: None,
            left: 0,
            aim: 0,
            rank: lane.rank,
            repeatable: lane.repeatable,
            anyway: false,
        });
        let mut passed_over: Vec<String> = Vec::new();
        let (mut dispatches, mut declined) = (0, 0);
        let mut may_have_run = false;
        loop {
            let outlook = self.outlook.load_full();
            let programme = &outlook.programme;
            let keyed = programme.services.get(&service).is_some_and(|held| held.keyed);
            cue.key = ask.key.filter(|_| keyed);
            let now = model::now();
            if now >= until {
                return Err(honest(Trouble::new(Cause::TooLate, "the wait was over before it could be dispatched"), may_have_run));
            }
            (cue.left, cue.aim) = (until - now, (ask.at + aim).saturating_sub(now));
            let picked = match cue.key {
                Some(key) => holder(programme, &service, key, &passed_over),
                None => self.pick(programme, &service, &passed_over).await,
            };
            let Some(picked) = picked else {
                if now >= patience {
                    let nobody = if cue.key.is_some() { Cause::KeyUnheld } else { Cause::NoBackEnd };
                    return Err(honest(Trouble::new(nobody, "nobody can take it now").later(300_000), may_have_run));
                }
                passed_over.clear();
                tokio::time::sleep(LOOK_AGAIN).await;
                continue;
            };
            cue.back_end = picked.name.clone();
            let (outcome, wait) = if picked.node == self.node {
                self.pit.perform(cue.clone()).await
            } else {
                in_time(until - now, self.mates.call(&picked.address, cue.clone())).await
            };
            let trouble = match outcome {
                Ok(take) => {
                    self.picks.done(&picked.name, Some(wait), false).await;
                    return Ok(take);
                }
                Err(trouble) => trouble,
            };
            let lost = matches!(trouble.cause, Cause::Unreachable | Cause::MateLost | Cause::BackEndLost | Cause::Leaving);
            self.picks.done(&picked.name, (!lost).then_some(wait), lost).await;
            passed_over.push(picked.name);
            // However many are ill, a request goes past few of them.
            declined += (trouble.cause == Cause::PassedOver) as u8;
            cue.anyway = declined >= PASSED;
            let certain = trouble.verdict == Verdict::NotRun;
            may_have_run |= !certain;
            if !certain && !lane.repeatable || !worth_another(&trouble, cue.key.is_some()) {
                return Err(honest(trouble, may_have_run));
            }
            // What a back end was given counts, though it ran nothing.
            let arrived = !certain || trouble.cause == Cause::Refused;
            dispatches += arrived as u8;
            if arrived && (dispatches >= lane.dispatches || !self.picks.spend(&service).await) {
                return Err(honest(trouble, may_have_run));
            }
        }
    }

    async fn pick(&self, programme: &model::bill::Programme, service: &str, passed_over: &[String]) -> Option<model::bill::Onstage> {
        let cast = programme.cast(service);
        let open = cast.iter().filter(|one| !passed_over.contains(&one.name));
        let candidates = open.map(|one| crate::picker::Candidate { name: one.name.clone(), slots: one.slots, near: one.zone == self.zone }).collect();
        let picked = self.picks.pick(candidates).await?;
        cast.iter().find(|one| one.name == picked).cloned()
    }
}

/// A mate answers when the wait is over; one that stands still answers nobody.
async fn in_time(left: Micros, call: impl Future<Output = inbound::Outcome>) -> inbound::Outcome {
    let called = tokio::time::timeout(std::time::Duration::from_micros(left + STANDS_STILL), call).await;
    called.unwrap_or_else(|_| (Err(Trouble::new(Cause::RanOutOfTime, "that node answered nothing in time")), 0))
}

/// Once a dispatch may have run, no later refusal takes that back.
fn honest(trouble: Trouble, may_have_run: bool) -> Trouble {
    if !may_have_run || trouble.verdict == Verdict::MayHaveRun {
        return trouble;
    }
    Trouble::new(Cause::BackEndLost, format!("an earlier dispatch may have run; then: {}", trouble.cause.code()))
}

/// Whoever holds the key, or while it moves whoever may hold it still.
fn holder(programme: &model::bill::Programme, service: &str, key: u16, passed_over: &[String]) -> Option<model::bill::Onstage> {
    let casting = programme.castings.get(service)?;
    let row = model::bill::rows::holder_of(&casting.1, key)?;
    let earlier = row.owed.iter().rev().map(|(name, _)| name);
    let mut named = row.holder.iter().chain(earlier).filter(|name| !passed_over.contains(name));
    named.find_map(|name| programme.find(name))
}

/// Troubles that another back end, or a moment later, may not have.
fn worth_another(trouble: &Trouble, keyed: bool) -> bool {
    match trouble.cause {
        Cause::PassedOver
        | Cause::Unreachable
        | Cause::MateLost
        | Cause::BackEndLost
        | Cause::ConnForgotten
        | Cause::BadSeal
        | Cause::Leaving
        | Cause::WrongIncarnation
        | Cause::Draining
        | Cause::KeyUnheld => true,
        Cause::Overloaded | Cause::Refused => !keyed,
        _ => false,
    }
}

/// A lane's weights over services, the same for every sight of one try.
fn share(lane: &model::bill::Lane, try_id: &str) -> String {
    let whole: u64 = lane.shares.iter().map(|(_, weight)| *weight as u64).sum();
    if lane.shares.len() == 1 || whole == 0 {
        return lane.shares.first().map(|(service, _)| service.clone()).unwrap_or_default();
    }
    let point = model::terms::hash(try_id) % whole;
    let upto = lane.shares.iter().scan(0, |sum, (service, weight)| {
        *sum += *weight as u64;
        Some((*sum, service))
    });
    upto.into_iter().find(|(sum, _)| point < *sum).map(|(_, service)| service.clone()).unwrap_or_default()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_may_have_run_is_never_said_not_to_have_run() {
        let refusal = || Trouble::new(Cause::Overloaded, "full").later(1);
        assert_eq!(honest(refusal(), false).verdict, Verdict::NotRun);
        assert_eq!(honest(refusal(), true).verdict, Verdict::MayHaveRun);
        assert_eq!(honest(Trouble::new(Cause::RanOutOfTime, ""), true).cause, Cause::RanOutOfTime);
    }

    #[tokio::test]
    async fn a_mate_that_stands_still_is_waited_for_no_longer_than_the_sender_waits() {
        let (outcome, _) = in_time(0, std::future::pending()).await;
        let trouble = outcome.expect_err("nobody answers");
        assert_eq!((trouble.cause, trouble.verdict), (Cause::RanOutOfTime, Verdict::MayHaveRun));
    }
}
