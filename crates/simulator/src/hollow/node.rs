//! One node of a hollow site: the product's own on a thread of its own, and beside it a made-up back end that
//! beats, holds the keys it is told to, lets go of those it lost, drains and ends.

use super::{Parts, Plan};
use std::net::TcpListener;
use std::sync::Arc;
use std::thread::Builder;
use std::time::Duration;

pub(super) enum Order {
    /// In good order: the back end drains and signs off, the node stops.
    Leave,
    /// Without a word, as a machine without power.
    Vanish,
}

pub(super) struct Hollow {
    pub at: usize,
    pub back_end: String,
    pub life: u64,
    pub following: control::FollowerHandle,
    orders: tokio::sync::mpsc::UnboundedSender<Order>,
    /// Closed once all its tasks are gone.
    ended: tokio::sync::watch::Receiver<()>,
}

/// What a node is made of; its place in the site says the rest.
#[derive(Clone)]
pub(super) struct Making {
    pub plan: Arc<Plan>,
    pub places: Vec<String>,
    pub links: Option<super::Linked>,
    pub known: control::KnownReplicas,
}

const BEAT_EVERY: model::Microseconds = 1_500_000;
const SLOTS: u32 = 8;
type Rows = Vec<(u16, u16, model::Position)>;

pub(super) fn back_end(at: usize, life: u64) -> String {
    format!("b{at}.{life}")
}

/// As `tour usher` is set (platform/src/usher.rs).
fn env(
    plan: &Plan,
    places: &[String],
    at: usize,
    life: u64,
    address: String,
) -> endpoints::NodeConfig {
    let most = 10_000_000;
    endpoints::NodeConfig {
        lease_table: endpoints::LeaseTableConfig {
            node: format!("n{at}"),
            zone: plan.zone(at),
            address,
            incarnation: life,
            leases: endpoints::LeaseConfig {
                proof_validity: most * 9 / 10,
                clock_margin: 200_000,
                max_duration: most,
            },
            heartbeat_interval: BEAT_EVERY,
            backend_address: None,
            drain_timeout: 2_000_000,
        },
        service: plan.service(at),
        seeds: places.to_vec(),
        header_names: http_util::headers::DEFAULT_HEADER_NAMES,
        selection: outbound::SelectorConfig {
            zone_crossing_cost: 15_000,
            retry_deposit: 8,
        },
        extra_runs: 1,
        proof_interval: 1_000_000,
        monitor_interval: 500_000,
        monitor_timeout: 3_000_000,
    }
}

pub(super) fn start(making: &Making, at: usize, life: u64) -> Result<Hollow, String> {
    let plan = making.plan.clone();
    let (listener, address) =
        super::seats::bind(plan.host(plan.seats + at), making.links.as_ref())?;
    let env = env(&plan, &making.places, at, life, address);
    let (orders, mut ordered) = tokio::sync::mpsc::unbounded_channel();
    let (ends, ended) = tokio::sync::watch::channel(());
    let (told, hears) = std::sync::mpsc::channel();
    let (known, back_end) = (making.known.clone(), back_end(at, life));
    let name = back_end.clone();
    let plays = move || {
        let _ends = ends;
        let Ok(runtime) = super::seats::runtime() else {
            return;
        };
        runtime.block_on(async {
            let Ok(listener) = tokio::net::TcpListener::from_std(listener) else {
                return;
            };
            let part = Part::start(&plan, env.clone(), known, listener);
            drop(told.send(part.following()));
            let acts = async {
                match part.troupe() {
                    Some(troupe) => act(troupe, &env, name, &mut ordered).await,
                    None => ordered.recv().await.map(|_| ()).unwrap_or_default(),
                }
            };
            acts.await;
            if let Part::Whole(node, ..) = &part {
                node.shut_down(Duration::ZERO, Duration::from_millis(500))
                    .await;
            }
        });
    };
    Builder::new()
        .name(format!("node-{at}"))
        .spawn(plays)
        .map_err(|error| error.to_string())?;
    let following = hears.recv().map_err(|error| error.to_string())?;
    Ok(Hollow {
        at,
        back_end,
        life,
        following,
        orders,
        ended,
    })
}

impl Hollow {
    pub(super) fn order(&self, order: Order) {
        drop(self.orders.send(order));
    }

    pub(super) async fn gone(&self) {
        let mut ended = self.ended.clone();
        while ended.changed().await.is_ok() {}
    }
}

enum Part {
    Following(control::FollowerHandle),
    Troupe(control::FollowerHandle, endpoints::LeaseTableHandle),
    Whole(Box<endpoints::Node>),
}

impl Part {
    fn start(
        plan: &Plan,
        env: endpoints::NodeConfig,
        known: control::KnownReplicas,
        listener: tokio::net::TcpListener,
    ) -> Part {
        let logger = model::logging::discard_logger();
        if plan.parts == Parts::Whole {
            return Part::Whole(Box::new(endpoints::Node::start(env, listener, logger)));
        }
        let own = env.lease_table.clone();
        // Each node's own, as it would be: nobody shares a table with another process.
        let mine = control::membership::discovery::empty();
        control::membership::discovery::merge(&mine, control::membership::discovery::list(&known));
        let (place, table) = (own.clone(), mine.clone());
        let greeting = |purpose| {
            let (own, mine) = (place.clone(), table.clone());
            move || transport::Handshake {
                purpose,
                node_name: own.node.clone(),
                zone: own.zone.clone(),
                address: own.address.clone(),
                incarnation: own.incarnation,
                replica: None,
                has_empty_disk: false,
                expected_disk: None,
                known_replicas: control::membership::discovery::list(&mine),
            }
        };
        let line = control::FollowerConfig {
            node: own.node.clone(),
            zone: own.zone.clone(),
            proof_interval: env.proof_interval,
            proof_timeout: env.proof_interval * 2,
        };
        let following = control::updates::follower::start(
            line,
            mine.clone(),
            greeting(transport::Purpose::Subscribe),
            logger.clone(),
        );
        tokio::spawn(control::membership::discovery::run(
            mine.clone(),
            env.seeds.clone(),
            greeting(transport::Purpose::Discover),
            || 3,
        ));
        if plan.parts == Parts::Following {
            return Part::Following(following);
        }
        let reporting = control::StatusReporterConfig {
            node: own.node.clone(),
            incarnation: own.incarnation,
            logger: logger.clone(),
        };
        let reports = control::StatusReporter::start(
            reporting,
            mine,
            following.followed_address.clone(),
            greeting(transport::Purpose::Subscribe),
        );
        let pit = inbound::ConcurrencyLimiter::start(inbound::ConcurrencyLimiterConfig {
            header_names: env.header_names.clone(),
            extra_runs: env.extra_runs,
        });
        let troupe =
            endpoints::LeaseTableHandle::start(own, following.clone(), pit, reports, logger);
        Part::Troupe(following, troupe)
    }

    fn following(&self) -> control::FollowerHandle {
        match self {
            Part::Following(following) | Part::Troupe(following, _) => following.clone(),
            Part::Whole(node) => node.follower.clone(),
        }
    }

    fn troupe(&self) -> Option<&endpoints::LeaseTableHandle> {
        match self {
            Part::Following(_) => None,
            Part::Troupe(_, troupe) => Some(troupe),
            Part::Whole(node) => Some(&node.lease_table),
        }
    }
}

/// Beats until it is ordered to go; in good order only once it has drained, and nobody beats for it any more.
async fn act(
    troupe: &endpoints::LeaseTableHandle,
    env: &endpoints::NodeConfig,
    name: String,
    orders: &mut tokio::sync::mpsc::UnboundedReceiver<Order>,
) {
    // The process is found alive by whoever dials it.
    let Ok(process) = TcpListener::bind("127.0.0.1:0") else {
        return;
    };
    let address = process
        .local_addr()
        .map(|address| address.to_string())
        .unwrap_or_default();
    let mut every =
        tokio::time::interval(Duration::from_micros(env.lease_table.heartbeat_interval));
    every.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let (mut sequence, mut held, mut lost): (u64, Rows, Vec<(u16, u16)>) = Default::default();
    let mut drains: Option<model::Microseconds> = None;
    loop {
        tokio::select! {
            _ = every.tick() => {}
            order = orders.recv() => match order {
                Some(Order::Leave) => {
                    drains = Some(model::now() + env.lease_table.drain_timeout);
                    every.reset_immediately();
                    continue;
                }
                _ => return,
            },
        }
        sequence += 1;
        let beat = endpoints::Heartbeat {
            name: name.clone(),
            service: env.service.clone(),
            address: address.clone(),
            zone: env.lease_table.zone.clone(),
            slots: SLOTS,
            draining: drains.is_some(),
            sequence,
            held_ranges: held.clone(),
            released_ranges: std::mem::take(&mut lost)
                .into_iter()
                .map(|(from, to)| (from, to, format!("t{sequence}")))
                .collect(),
        };
        if let Ok(Some((rows, _))) = troupe.heartbeat(beat).await {
            let kept: Rows = rows
                .into_iter()
                .map(|(from, to, fence, _)| (from, to, fence))
                .collect();
            lost = less(&held, &kept);
            held = kept;
        }
        // Drained, and told so with what it let go.
        if drains.is_some_and(|until| model::now() >= until && lost.is_empty()) {
            troupe.deregister(name.clone()).await.unwrap_or_default();
            // Its process ends a moment later, and the node with the next look at it.
            tokio::time::sleep(Duration::from_millis(50)).await;
            drop(process);
            return tokio::time::sleep(Duration::from_millis(700)).await;
        }
    }
}

/// The keys of `held` that are not in `kept`.
fn less(held: &Rows, kept: &Rows) -> Vec<(u16, u16)> {
    let whole = held
        .iter()
        .map(|(from, to, _)| (*from as u32, *to as u32))
        .collect::<Vec<_>>();
    let left = kept.iter().fold(whole, |left, (from, to, _)| {
        let (from, to) = (*from as u32, *to as u32);
        let cut = |(low, high): (u32, u32)| {
            let below = (low < from).then(|| (low, high.min(from - 1)));
            let above = (high > to).then(|| (low.max(to + 1), high));
            below.into_iter().chain(above)
        };
        left.into_iter().flat_map(cut).collect()
    });
    left.into_iter()
        .map(|(from, to)| (from as u16, to as u16))
        .collect()
}

#[cfg(test)]
mod tests {
    #[test]
    fn what_is_lost_is_what_was_held_and_is_no_more() {
        let held = vec![(0, 99, 3), (200, u16::MAX, 3)];
        assert_eq!(super::less(&held, &held), vec![]);
        assert_eq!(
            super::less(&held, &vec![(0, 49, 3), (300, 399, 9)]),
            vec![(50, 99), (200, 299), (400, u16::MAX)]
        );
        assert_eq!(super::less(&held, &vec![]), vec![(0, 99), (200, u16::MAX)]);
    }
}
