//! What befalls a hollow site, one stage after the other, each with its counts.

use super::node::Order;
use super::site::Site;
use super::{Parts, Plan, Report, Stage};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

type Told = Arc<Mutex<String>>;
type Extra = BTreeMap<&'static str, f64>;

/// After a stage's last deed, so that what follows from it is counted with it.
const AFTER: Duration = Duration::from_millis(1_500);

struct Play {
    site: Site,
    stages: Vec<Stage>,
    told: Told,
}

pub(super) async fn all(
    plan: Plan,
    links: Option<super::Linked>,
    told: Told,
) -> Result<Report, String> {
    tell(&told, "the core starts".into());
    let cut = links.as_ref().map(|(links, _)| links.clone());
    let site = Site::start(plan, links).await?;
    let mut play = Play {
        site,
        stages: Vec::new(),
        told,
    };
    play.gather().await?;
    play.rest().await?;
    if play.site.plan.changes > 0 {
        play.changes().await?;
    }
    if play.site.plan.restarts > 0 {
        play.restarts().await?;
    }
    if play.site.plan.lost > 0 {
        play.lost().await?;
    }
    if let Some(links) = cut.filter(|_| play.site.plan.cut > 0) {
        play.cut(&links).await?;
    }
    Ok(Report {
        plan: (*play.site.plan).clone(),
        stages: play.stages,
    })
}

fn tell(told: &Told, line: String) {
    *told.lock().unwrap_or_else(PoisonError::into_inner) = line;
}

impl Play {
    fn tell(&self, line: String) {
        tell(
            &self.told,
            format!(
                "{line}; {} nodes, log at {}",
                self.site.live().count(),
                self.site.witness.programme().position
            ),
        );
    }

    fn begin(&self, name: &'static str) -> super::report::Begun {
        self.tell(name.into());
        super::report::Begun::new(
            name,
            super::meter::reading(&self.site.seats.cores),
            self.site.witness.tally(),
        )
    }

    fn end(&mut self, begun: super::report::Begun, extra: Extra) {
        let ghosts = ("ghosts", self.site.ghosts() as f64);
        let extra = extra.into_iter().chain([ghosts]).collect();
        self.stages.push(begun.ended(
            super::meter::reading(&self.site.seats.cores),
            self.site.witness.tally(),
            extra,
        ));
    }

    /// All nodes come, a few at a time, until the log says all of them.
    async fn gather(&mut self) -> Result<(), String> {
        let begun = self.begin("gather");
        for at in 0..self.site.plan.nodes {
            self.site.start_node(at)?;
            if at % 16 == 15 {
                self.tell("gather".into());
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
        if self.site.plan.parts != Parts::Whole {
            self.site.make_up().await?;
        }
        let waited = self.site.settled("every node is placed").await?;
        self.end(begun, Extra::from([("settled_us", waited as f64)]));
        Ok(())
    }

    async fn rest(&mut self) -> Result<(), String> {
        // Conns that only the beginning needed have gone by then.
        tokio::time::sleep(Duration::from_secs(6)).await;
        let begun = self.begin("rest");
        tokio::time::sleep(Duration::from_secs(self.site.plan.seconds)).await;
        self.end(begun, Extra::new());
        Ok(())
    }

    fn pace(&self, count: usize) -> tokio::time::Interval {
        let mut every =
            tokio::time::interval(Duration::from_secs(self.site.plan.seconds) / count as u32);
        every.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        every
    }

    async fn changes(&mut self) -> Result<(), String> {
        let begun = self.begin("changes");
        let mut every = self.pace(self.site.plan.changes);
        let (mut answered, mut in_force) = (Vec::new(), Vec::new());
        for number in 0..self.site.plan.changes {
            every.tick().await;
            self.tell(format!("change {number}"));
            let (core, asked) = (
                &self.site.seats.cores[number % self.site.plan.seats],
                model::now(),
            );
            let Some(model::Outcome::Accepted { position, .. }) =
                core.change_items(self.site.plan.change(number)).await
            else {
                return Err(format!("change {number} was not taken"));
            };
            answered.push(model::now() - asked);
            let holds = |held: &super::node::Hollow| {
                held.following.verified_state.load().snapshot.position >= position
            };
            super::until("a change is in force", || self.site.live().all(holds)).await?;
            in_force.push(model::now() - asked);
        }
        tokio::time::sleep(AFTER).await;
        let of = |sorted: &mut Vec<u64>, part: usize| {
            sorted.sort();
            sorted[(sorted.len() - 1) * part / 100] as f64
        };
        let extra = Extra::from([
            ("answered_middle_us", of(&mut answered, 50)),
            ("answered_most_us", of(&mut answered, 100)),
            ("in_force_middle_us", of(&mut in_force, 50)),
            ("in_force_most_us", of(&mut in_force, 100)),
        ]);
        self.end(begun, extra);
        Ok(())
    }

    /// Planned: a back end drains and signs off, its node stops and is started again at once.
    async fn restarts(&mut self) -> Result<(), String> {
        let begun = self.begin("restarts");
        let mut every = self.pace(self.site.plan.restarts);
        let mut leaving = tokio::task::JoinSet::new();
        let nodes = self.site.plan.nodes;
        for number in 0..self.site.plan.restarts {
            // What left meanwhile comes back first.
            while let Some(Ok(at)) = leaving.try_join_next() {
                self.site.start_node(at)?;
            }
            tokio::select! {
                _ = every.tick() => {}
                Some(Ok(at)) = leaving.join_next(), if !leaving.is_empty() => {
                    self.site.start_node(at)?;
                    every.tick().await;
                }
            }
            self.tell(format!("restart {number}"));
            let at = number % nodes;
            if let Some(held) = self.site.nodes[at].take() {
                held.order(Order::Leave);
                leaving.spawn(async move {
                    held.gone().await;
                    held.at
                });
            }
        }
        while let Some(Ok(at)) = leaving.join_next().await {
            self.site.start_node(at)?;
        }
        let waited = self.site.settled("all that restarted are placed").await?;
        tokio::time::sleep(AFTER).await;
        self.end(begun, Extra::from([("settled_us", waited as f64)]));
        Ok(())
    }

    /// Machines of one zone first, as a rack's or a zone's are.
    async fn lost(&mut self) -> Result<(), String> {
        let (plan, begun) = (self.site.plan.clone(), self.begin("lost"));
        let mut order: Vec<usize> = (0..plan.nodes).collect();
        order.sort_by_key(|at| at % plan.zones);
        let gone: Vec<usize> = order.into_iter().take(plan.lost).collect();
        let began = model::now();
        let left: Vec<_> = gone
            .iter()
            .filter_map(|at| self.site.nodes[*at].take())
            .collect();
        left.iter().for_each(|held| held.order(Order::Vanish));
        for held in left {
            held.gone().await;
        }
        let absent = || {
            let programme = self.site.witness.programme();
            gone.iter().all(|at| {
                programme
                    .nodes
                    .get(&format!("n{at}"))
                    .is_some_and(|place| !place.present)
            })
        };
        super::until("all that are lost are missed", absent).await?;
        let missed = model::now() - began;
        self.site.settled("their keys are held by others").await?;
        let extra = Extra::from([
            ("missed_us", missed as f64),
            ("settled_us", (model::now() - began) as f64),
        ]);
        self.end(begun, extra);
        let begun = self.begin("back");
        gone.into_iter()
            .try_for_each(|at| self.site.start_node(at))?;
        let waited = self.site.settled("all that came back are placed").await?;
        tokio::time::sleep(AFTER).await;
        self.end(begun, Extra::from([("settled_us", waited as f64)]));
        Ok(())
    }

    /// The last region hears nobody outside, nor is it heard, and then is joined again.
    async fn cut(&mut self, links: &crate::network::Network) -> Result<(), String> {
        let (plan, begun) = (self.site.plan.clone(), self.begin("cut"));
        let region = plan.regions - 1;
        let all = (0..plan.seats).map(|seat| (plan.host(seat), plan.region(seat)));
        let all: Vec<_> = all
            .chain((0..plan.nodes).map(|at| (plan.host(plan.seats + at), plan.region(at))))
            .collect();
        let (inside, outside): (Vec<_>, Vec<_>) =
            all.into_iter().partition(|(_, held)| *held == region);
        inside
            .iter()
            .flat_map(|(one, _)| outside.iter().map(move |(two, _)| (*one, *two)))
            .for_each(|(one, two)| {
                links.cut(one, two);
                links.cut(two, one);
            });
        self.site.witness.absent_most();
        tokio::time::sleep(Duration::from_secs(plan.cut)).await;
        let absent = self.site.witness.absent_most();
        let of = |absent: &[usize], inside: bool| {
            absent
                .iter()
                .enumerate()
                .filter(|(held, _)| (*held == region) == inside)
                .map(|(_, count)| *count as f64)
                .sum()
        };
        self.end(
            begun,
            Extra::from([
                ("absent_inside", of(&absent, true)),
                ("absent_outside", of(&absent, false)),
            ]),
        );
        let begun = self.begin("joined");
        links.heal();
        let waited = self.site.settled("both sides are one again").await?;
        tokio::time::sleep(AFTER * 4).await;
        self.site.settled("both sides stay one").await?;
        let absent = self.site.witness.absent_most();
        self.end(
            begun,
            Extra::from([
                ("settled_us", waited as f64),
                ("absent_inside", of(&absent, true)),
                ("absent_outside", of(&absent, false)),
            ]),
        );
        Ok(())
    }
}
