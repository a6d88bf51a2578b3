//! One back end beside one usher, with orders of three kinds, and the time told to it.

use legacy_proxy::house::{Permit, Registration};
use legacy_proxy::{House, HouseEnv};
use model::{Cause, Order, Selector, terms::Term};

pub const SECOND: u64 = 1_000_000;

pub struct Scene {
    pub house: House,
    pub view: control::View,
    pub life: u64,
    tickets: u64,
}

pub fn order(path: &str, importance: u8, keyed: bool) -> Order {
    let selector = Selector { from: vec!["desk".into()], service: "seat".into(), methods: vec![], path_prefix: path.into(), labels: Default::default() };
    Order { selector, wait_us: 3 * SECOND, importance, repeatable: false, keyed, leave_zone: true }
}

impl Scene {
    pub fn new(slots: u32) -> Scene {
        let env = HouseEnv { node: "n0".into(), zone: "z0".into(), beat_patience: 60 * SECOND, bound: 1_500_000, guard: 250_000 };
        let mut scene = Scene { house: House::new(env), view: Default::default(), life: 0, tickets: 0 };
        let registration =
            Registration { name: "seat-0".into(), service: "seat".into(), zone: "z0".into(), labels: Default::default(), slots, address: "127.0.0.1:9".into() };
        scene.life = scene.house.reserve(0, 100, registration, "secret".into()).expect("the name is free");
        scene.house.confirm(0, "seat-0", scene.life, true);
        let orders = [("plain", order("/plain", 5, false)), ("dear", order("/dear", 9, false)), ("keyed", order("/keyed", 5, true))];
        let orders = orders.into_iter().map(|(name, order)| (name.to_string(), order)).collect();
        let back_end = scene.house.back_end("seat-0").expect("registered");
        let mut slice = model::Slice { position: 5, orders, ..Default::default() };
        slice.back_ends.insert("seat-0".into(), back_end);
        let term = Term { holder: Some(("seat-0".into(), scene.life)), fence: 5, owed: vec![] };
        slice.terms.insert("seat".into(), vec![term; model::terms::SLICES as usize]);
        slice.longest.insert("seat".into(), 3 * SECOND);
        scene.view = control::View { slice: std::sync::Arc::new(slice), fresh_until: 1_000 * SECOND };
        scene
    }

    pub fn edit(&mut self, edit: impl FnOnce(&mut model::Slice)) {
        edit(std::sync::Arc::make_mut(&mut self.view.slice));
    }

    pub fn dispatch(&self, try_id: &str, path: &str) -> transport::Dispatch {
        transport::Dispatch {
            number: 0,
            try_id: try_id.into(),
            ordinal: 0,
            sender_service: "desk".into(),
            lane: String::new(),
            service: "seat".into(),
            back_end: "seat-0".into(),
            incarnation: self.life,
            method: "POST".into(),
            path: path.into(),
            query: String::new(),
            headers: vec![],
            body: vec![],
            key: (path == "/keyed").then(|| "k".to_string()),
            fence: (path == "/keyed").then_some(5),
            left: 3 * SECOND,
            importance: if path == "/dear" { 9 } else { 5 },
            mark: 0,
        }
    }

    pub fn enter(&mut self, now: u64, dispatch: transport::Dispatch) -> Vec<(u64, Result<Permit, model::Trouble>)> {
        self.tickets += 1;
        self.house.enter(now, &self.view, self.tickets, dispatch)
    }

    pub fn cause(&mut self, now: u64, dispatch: transport::Dispatch) -> Option<Cause> {
        let entered = self.enter(now, dispatch);
        entered.into_iter().next().and_then(|(_, entered)| entered.err()).map(|trouble| trouble.cause)
    }
}
