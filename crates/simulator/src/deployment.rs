//! The deployments that the simulator runs: two full sites and a small one for short tests (design 9.5).

/// A kind of request that clients of a service send.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct RequestSpec {
    pub service: String,
    pub path: String,
    /// Time that the client allows for an answer, in microseconds.
    pub wait_us: u64,
    pub repeatable: bool,
    pub keyed: bool,
    /// Share of the service's client traffic, relative to the weights of its other kinds of requests.
    pub weight: u32,
}

/// A site: its machines, services, routes and load.
#[derive(Clone, Debug)]
pub struct Deployment {
    pub name: &'static str,
    pub zone_count: usize,
    pub replica_count: usize,
    /// Requests per second of all clients together.
    pub rate: f64,
    /// Concurrent requests per backend.
    pub slots: u32,
    /// Time that a backend works on a request, in microseconds.
    pub work_us: u64,
    /// Work time, in microseconds, at which one hot key exhausts its backend while the other backends still have capacity.
    pub slow_work_us: u64,
    /// Duration of a disk sync of a replica, in microseconds.
    pub sync_us: u64,
    /// One-way delay between zones, in microseconds.
    pub zone_delay_us: u64,
    /// Name of each service and the number of its backends.
    pub services: Vec<(&'static str, usize)>,
    pub routes: Vec<RouteSpec>,
}

/// Client service, target service, path, repeatable, keyed, importance, share of the client's traffic.
pub type RouteSpec = (
    &'static str,
    &'static str,
    &'static str,
    bool,
    bool,
    u8,
    u32,
);

/// Time that a client allows for an answer to any request, in microseconds.
pub const DEFAULT_WAIT_US: u64 = 3_000_000;

/// Returns the deployment of this name.
pub fn named(name: &str) -> Option<Deployment> {
    match name {
        "swanreach" => Some(Deployment {
            name: "swanreach",
            zone_count: 4,
            replica_count: 5,
            rate: 650.0,
            slots: 12,
            work_us: 5_000,
            slow_work_us: 100_000,
            sync_us: 1_000,
            zone_delay_us: 1_000,
            services: vec![("seat", 7), ("entitlement", 4)],
            routes: vec![
                ("seat", "seat", "/check", true, false, 3, 45),
                ("seat", "seat", "/checkout", false, true, 7, 35),
                ("seat", "entitlement", "/lookup", true, false, 5, 20),
                ("entitlement", "entitlement", "/renew", false, true, 8, 60),
                ("entitlement", "entitlement", "/return", false, true, 6, 40),
            ],
        }),
        "kurasa" => Some(Deployment {
            name: "kurasa",
            zone_count: 3,
            replica_count: 5,
            rate: 250.0,
            slots: 9,
            work_us: 8_000,
            slow_work_us: 200_000,
            sync_us: 5_000,
            zone_delay_us: 500,
            services: vec![("catalogue", 8), ("orders", 3)],
            routes: vec![
                ("catalogue", "catalogue", "/browse", true, false, 2, 60),
                ("catalogue", "catalogue", "/reserve", false, true, 6, 25),
                ("catalogue", "orders", "/stock", true, false, 4, 15),
                ("orders", "orders", "/pay", false, false, 9, 50),
                ("orders", "orders", "/receipt", false, false, 8, 50),
            ],
        }),
        "small" => Some(Deployment {
            name: "small",
            zone_count: 2,
            replica_count: 3,
            rate: 40.0,
            slots: 4,
            work_us: 1_000,
            slow_work_us: 100_000,
            sync_us: 5_000,
            zone_delay_us: 500,
            services: vec![("seat", 2)],
            routes: vec![
                ("seat", "seat", "/check", true, false, 3, 50),
                ("seat", "seat", "/checkout", false, true, 7, 50),
            ],
        }),
        _ => None,
    }
}

impl Deployment {
    /// Returns the name, service and zone of each backend. Each backend runs on a machine of its own.
    pub fn backends(&self) -> Vec<(String, &'static str, usize)> {
        self.services
            .iter()
            .flat_map(|(service, count)| {
                (0..*count).map(move |index| (format!("{service}-{index}"), *service))
            })
            .enumerate()
            .map(|(index, (name, service))| (name, service, index % self.zone_count))
            .collect()
    }

    /// Returns the kinds of requests that clients of this service send.
    pub fn client_requests(&self, service: &str) -> Vec<RequestSpec> {
        self.routes
            .iter()
            .filter(|route| route.0 == service)
            .map(
                |(_, target, path, repeatable, keyed, _, weight)| RequestSpec {
                    service: target.to_string(),
                    path: path.to_string(),
                    wait_us: DEFAULT_WAIT_US,
                    repeatable: *repeatable,
                    keyed: *keyed,
                    weight: *weight,
                },
            )
            .collect()
    }

    /// Returns the edits by which an operator defines the site's groupings and routes.
    pub fn edits(&self) -> Vec<serde_json::Value> {
        let zones = 0..self.zone_count;
        let groupings = self.services.iter().flat_map(|(service, _)| {
            zones.clone().map(move |zone| {
                serde_json::json!({ "put_grouping": { "name": format!("{service}-z{zone}"), "grouping": { "service": service, "zone": format!("z{zone}") } } })
            })
        });
        let orders = self.routes.iter().map(|(client, service, path, repeatable, keyed, importance, _)| {
            serde_json::json!({ "put_order": { "name": format!("{client}-{service}-{}", &path[1..]), "order": {
                "selector": { "from": [client], "service": service, "path_prefix": path },
                "wait_us": DEFAULT_WAIT_US, "importance": importance, "repeatable": repeatable, "keyed": keyed } } })
        });
        groupings.chain(orders).collect()
    }
}
