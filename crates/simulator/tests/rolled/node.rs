//! One life of a node on a thread of its own, as its process runs; dropped with its thread.

use crate::site::Place;
use std::thread::Builder;
use std::time::Duration;

pub(crate) struct Running {
    /// True: in good order.
    orders: tokio::sync::watch::Sender<Option<bool>>,
    ended: tokio::sync::watch::Receiver<()>,
    outlook: control::SharedVerifiedState,
}

fn env(at: usize, life: u64, mates: String, seeds: Vec<String>) -> endpoints::NodeConfig {
    let keys = endpoints::LeaseConfig {
        proof_validity: 9_000_000,
        clock_guard: 200_000,
        max_duration: 10_000_000,
    };
    let (node, zone) = (format!("n{at}"), format!("z{}", at % 2));
    endpoints::NodeConfig {
        lease_table: endpoints::LeaseTableConfig {
            node,
            zone,
            address: mates,
            incarnation: life,
            leases: keys,
            heartbeat_interval: 500_000,
            drain_timeout: 2_000_000,
            backend_address: None,
        },
        service: crate::site::service(at),
        seeds,
        header_names: http_util::headers::DEFAULT_HEADER_NAMES,
        selection: outbound::SelectorConfig {
            zone_crossing_cost: 0,
            retry_deposit: 8,
        },
        queued_ahead: 1,
        proof_interval: 200_000,
        monitor_interval: 1_000_000,
        monitor_timeout: 3_500_000,
    }
}

/// The life before may have ended this very moment.
async fn bind(address: &str) -> tokio::net::TcpListener {
    loop {
        if let Ok(listener) = tokio::net::TcpListener::bind(address).await {
            return listener;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

impl Running {
    pub(crate) fn start(at: usize, life: u64, place: &Place, seeds: Vec<String>) -> Running {
        let (orders, mut ordered) = tokio::sync::watch::channel(None);
        let (ends, ended) = tokio::sync::watch::channel(());
        let (told, hears) = std::sync::mpsc::channel();
        let (front, mates, beside) = (
            place.front.clone(),
            place.mates.clone(),
            place.beside.clone(),
        );
        let plays = move || {
            let _ends = ends;
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .expect("a runtime");
            runtime.block_on(async {
                let (listener, outbound) = (bind(&mates).await, bind(&front).await);
                let node = endpoints::Node::start(
                    env(at, life, mates, seeds),
                    listener,
                    model::logging::discard_logger(),
                );
                node.serve(outbound);
                beside.send_replace(Some(node.lease_table.clone()));
                drop(told.send(node.follower.verified_state.clone()));
                let in_order = ordered
                    .wait_for(Option::is_some)
                    .await
                    .is_ok_and(|ordered| *ordered == Some(true));
                if in_order {
                    node.shut_down(Duration::ZERO, Duration::from_secs(120))
                        .await;
                }
            });
        };
        Builder::new()
            .name(format!("node-{at}.{life}"))
            .spawn(plays)
            .expect("a thread");
        Running {
            orders,
            ended,
            outlook: hears.recv().expect("it starts"),
        }
    }

    pub(crate) fn leave(&self) {
        self.orders.send_replace(Some(true));
    }

    pub(crate) fn kill(&self) {
        self.orders.send_replace(Some(false));
    }

    pub(crate) async fn gone(&self) {
        let mut ended = self.ended.clone();
        while ended.changed().await.is_ok() {}
    }

    /// Up to where it believes the bill.
    pub(crate) fn position(&self) -> u64 {
        self.outlook.load().snapshot.position
    }
}
