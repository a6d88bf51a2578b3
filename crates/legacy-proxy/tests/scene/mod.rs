//! One backend beside one node, with orders of three kinds, and the time passed in.

use control::View;
use legacy_proxy::slot_owner::{Permit, Registration};
use legacy_proxy::{SlotOwner, SlotOwnerConfig};
use model::leases::KEY_SLOTS;
use model::{ErrorKind, Selector, StandingOrder, leases::Lease};
use std::sync::Arc;
use transport::AttemptRequest;

pub(crate) const SECOND: u64 = 1_000_000;

pub(crate) struct Scene {
    pub slots: SlotOwner,
    pub view: View,
    pub incarnation: u64,
    tickets: u64,
}

pub(crate) fn order(path: &str, importance: u8, keyed: bool) -> StandingOrder {
    let selector = Selector {
        from: vec!["desk".into()],
        service: "seat".into(),
        methods: vec![],
        path_prefix: path.into(),
        labels: Default::default(),
    };
    StandingOrder {
        selector,
        wait_us: 3 * SECOND,
        importance,
        idempotent: false,
        keyed,
        allow_other_zones: true,
    }
}

impl Scene {
    pub(crate) fn new(slots: u32) -> Scene {
        let env = SlotOwnerConfig {
            node: "n0".into(),
            zone: "z0".into(),
            heartbeat_timeout: 60 * SECOND,
            proof_lifetime: 1_500_000,
            clock_margin: 250_000,
        };
        let mut scene = Scene {
            slots: SlotOwner::new(env),
            view: Default::default(),
            incarnation: 0,
            tickets: 0,
        };
        let registration = Registration {
            name: "seat-0".into(),
            service: "seat".into(),
            zone: "z0".into(),
            labels: Default::default(),
            slots,
            address: "127.0.0.1:9".into(),
        };
        scene.incarnation = scene
            .slots
            .reserve(0, 100, registration, "secret".into())
            .expect("the name is free");
        scene.slots.confirm(0, "seat-0", scene.incarnation, true);
        let orders = [
            ("plain", order("/plain", 5, false)),
            ("dear", order("/dear", 9, false)),
            ("keyed", order("/keyed", 5, true)),
        ];
        let orders = orders
            .into_iter()
            .map(|(name, order)| (name.to_string(), order))
            .collect();
        let backend = scene.slots.backend("seat-0").expect("registered");
        let mut slice = model::StateSlice {
            position: 5,
            orders,
            ..Default::default()
        };
        slice.backends.insert("seat-0".into(), backend);
        let lease = Lease {
            holder: Some(("seat-0".into(), scene.incarnation)),
            fencing_token: 5,
            pending_releases: vec![],
        };
        slice
            .leases
            .insert("seat".into(), vec![lease; KEY_SLOTS as usize]);
        slice.longest_requests.insert("seat".into(), 3 * SECOND);
        scene.view = View {
            slice: Arc::new(slice),
            fresh_until: 1_000 * SECOND,
        };
        scene
    }

    pub(crate) fn edit(&mut self, edit: impl FnOnce(&mut model::StateSlice)) {
        edit(Arc::make_mut(&mut self.view.slice));
    }

    pub(crate) fn request(&self, attempt_id: &str, path: &str) -> AttemptRequest {
        AttemptRequest {
            request_id: 0,
            attempt_id: attempt_id.into(),
            ordinal: 0,
            client_service: "desk".into(),
            route: String::new(),
            service: "seat".into(),
            backend: "seat-0".into(),
            incarnation: self.incarnation,
            method: "POST".into(),
            path: path.into(),
            query: String::new(),
            headers: vec![],
            body: vec![],
            shard_key: (path == "/keyed").then(|| "k".to_string()),
            fencing_token: (path == "/keyed").then_some(5),
            time_left: 3 * SECOND,
            priority: if path == "/dear" { 9 } else { 5 },
            last_watermark: 0,
        }
    }

    pub(crate) fn admit(
        &mut self,
        now: u64,
        request: AttemptRequest,
    ) -> Vec<(u64, Result<Permit, model::Error>)> {
        self.tickets += 1;
        self.slots.admit(now, &self.view, self.tickets, request)
    }

    pub(crate) fn cause(&mut self, now: u64, request: AttemptRequest) -> Option<ErrorKind> {
        let admission = self.admit(now, request);
        admission
            .into_iter()
            .next()
            .and_then(|(_, admission)| admission.err())
            .map(|error| error.kind)
    }
}
