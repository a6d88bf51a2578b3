//! A node that runs on a thread of its own in place of a process. All its state is dropped when the thread ends.

use crate::site::NodeAddresses;
use std::thread::Builder;
use std::time::Duration;

pub(crate) struct RunningNode {
    /// `true` requests a graceful shutdown, `false` a kill.
    stop_mode: tokio::sync::watch::Sender<Option<bool>>,
    thread_ended: tokio::sync::watch::Receiver<()>,
    verified_state: control::SharedVerifiedState,
}

fn config(
    index: usize,
    incarnation: u64,
    peer_address: String,
    seeds: Vec<String>,
) -> endpoints::NodeConfig {
    let leases = endpoints::LeaseConfig {
        proof_validity: 9_000_000,
        clock_margin: 200_000,
        max_duration: 10_000_000,
    };
    let (node, zone) = (format!("n{index}"), format!("z{}", index % 2));
    endpoints::NodeConfig {
        lease_table: endpoints::LeaseTableConfig {
            node,
            zone,
            address: peer_address,
            incarnation,
            leases,
            heartbeat_interval: 500_000,
            drain_timeout: 2_000_000,
            backend_address: None,
        },
        service: crate::site::service(index),
        seeds,
        header_names: http_util::headers::DEFAULT_HEADER_NAMES,
        selection: outbound::SelectorConfig {
            zone_crossing_cost: 0,
            retry_deposit: 8,
        },
        extra_runs: 1,
        proof_interval: 200_000,
        monitor_interval: 1_000_000,
        monitor_timeout: 3_500_000,
    }
}

/// Binds the address. Retries, because the previous process of the node may still hold the address.
async fn bind(address: &str) -> tokio::net::TcpListener {
    loop {
        if let Ok(listener) = tokio::net::TcpListener::bind(address).await {
            return listener;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

impl RunningNode {
    pub(crate) fn start(
        index: usize,
        incarnation: u64,
        addresses: &NodeAddresses,
        seeds: Vec<String>,
    ) -> RunningNode {
        let (stop_mode, mut stop_receiver) = tokio::sync::watch::channel(None);
        let (end_sender, thread_ended) = tokio::sync::watch::channel(());
        let (state_sender, state_receiver) = std::sync::mpsc::channel();
        let (client_address, peer_address, lease_table) = (
            addresses.client_address.clone(),
            addresses.peer_address.clone(),
            addresses.lease_table.clone(),
        );
        let run_node = move || {
            let _end_sender = end_sender;
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .expect("a runtime");
            runtime.block_on(async {
                let (listener, outbound) = (bind(&peer_address).await, bind(&client_address).await);
                let node = endpoints::Node::start(
                    config(index, incarnation, peer_address, seeds),
                    listener,
                    model::logging::discard_logger(),
                );
                node.serve(outbound);
                lease_table.send_replace(Some(node.lease_table.clone()));
                drop(state_sender.send(node.follower.verified_state.clone()));
                let graceful = stop_receiver
                    .wait_for(Option::is_some)
                    .await
                    .is_ok_and(|stop_mode| *stop_mode == Some(true));
                if graceful {
                    node.shut_down(Duration::ZERO, Duration::from_secs(120))
                        .await;
                }
            });
        };
        Builder::new()
            .name(format!("node-{index}.{incarnation}"))
            .spawn(run_node)
            .expect("a thread");
        RunningNode {
            stop_mode,
            thread_ended,
            verified_state: state_receiver.recv().expect("it starts"),
        }
    }

    pub(crate) fn shut_down(&self) {
        self.stop_mode.send_replace(Some(true));
    }

    pub(crate) fn kill(&self) {
        self.stop_mode.send_replace(Some(false));
    }

    pub(crate) async fn wait_until_ended(&self) {
        let mut thread_ended = self.thread_ended.clone();
        while thread_ended.changed().await.is_ok() {}
    }

    /// Returns the position of the state that the node holds.
    pub(crate) fn position(&self) -> u64 {
        self.verified_state.load().snapshot.position
    }
}
