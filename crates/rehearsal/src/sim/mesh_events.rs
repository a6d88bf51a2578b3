//! What happens to a node between its asking and its back end's answer (design 9.8).

use super::mesh::{Event, Mesh, WAIT};
use playbill::{Act, Entry, Micros, Outcome, standing::Report};

/// The promise to operators and back ends.
const IN_FORCE: Micros = 2_000_000;

impl Mesh {
    fn place_of(event: &Event) -> Option<usize> {
        match event {
            Event::Pump(at) | Event::Ask(at) | Event::Beat(at) | Event::Proved(at, ..) | Event::Arrive(_, at) | Event::Done(at, ..) => Some(*at),
            Event::Strike(_) | Event::Report(..) | Event::Request => None,
        }
    }

    pub(super) fn happen(&mut self, event: Event) {
        if let Some(at) = Mesh::place_of(&event).filter(|at| self.nodes[*at].frozen) {
            return self.nodes[at].late.push(event);
        }
        let now = self.now;
        match event {
            Event::Strike(strike) => self.strike(strike),
            Event::Pump(at) => {
                self.pump(at);
                self.at(now + 20_000, Event::Pump(at));
            }
            Event::Ask(at) => {
                let (there, back) = (self.hop(), self.hop());
                if !self.nodes[at].cut {
                    // What the core knows when the question reaches it; here it may lag the answer's way back.
                    let mut slice = playbill::Slice::cut(&self.book, &["seat".to_string()].into_iter().collect());
                    if self.plan.hasty {
                        slice.longest.clear();
                    }
                    self.at(now + there + back, Event::Proved(at, now, Box::new(slice)));
                }
                self.at(now + 250_000, Event::Ask(at));
            }
            Event::Proved(at, asked, slice) => {
                let (position, bound) = (slice.position, self.plan.bound);
                let node = &mut self.nodes[at];
                if !node.cut {
                    node.view.with_news(*slice).into_iter().for_each(|view| node.view = view);
                    node.view.with_proof(asked, position, bound).into_iter().for_each(|view| node.view = view);
                }
            }
            Event::Beat(at) => {
                let secret = self.nodes[at].secret.clone();
                let known = self.nodes[at].beats && self.nodes[at].house.beat(now, &secret, false, None).is_some();
                if !known {
                    self.come_again(at);
                }
                self.at(now + 300_000, Event::Beat(at));
            }
            Event::Report(at, life, report) => self.deliver(at, life, report),
            Event::Request => {
                self.request();
                self.at(now + 9_000, Event::Request);
            }
            Event::Arrive(dispatch, at) => self.arrive(*dispatch, at),
            Event::Done(at, life, permit) => {
                if self.nodes[at].life == life {
                    self.nodes[at].house.done(&permit, false);
                }
            }
        }
    }

    fn pump(&mut self, at: usize) {
        let now = self.now;
        let node = &mut self.nodes[at];
        let view = node.view.clone();
        let granted = node.house.pump(now, &view);
        let reports = node.house.reports();
        node.outbox.extend(reports);
        granted.into_iter().filter_map(|(ticket, entered)| entered.ok().map(|permit| (ticket, permit))).for_each(|(_, permit)| self.run(at, permit));
        self.post(at);
    }

    fn post(&mut self, at: usize) {
        let wait = self.hop();
        let node = &mut self.nodes[at];
        if node.reporting {
            return;
        }
        if let Some(report) = node.outbox.pop_front() {
            node.reporting = true;
            let life = node.life;
            let time = self.now + wait;
            self.at(time, Event::Report(at, life, report));
        }
    }

    fn deliver(&mut self, at: usize, life: u64, report: Report) {
        if self.nodes[at].life != life {
            return;
        }
        if self.nodes[at].cut || self.nodes[at].frozen {
            let time = self.now + 50_000;
            return self.at(time, Event::Report(at, life, report));
        }
        self.nodes[at].sequence += 1;
        let sequence = self.nodes[at].sequence;
        let outcome = self.book.apply(Entry { origin: format!("n{at}"), life, sequence, act: Act::Standing(report.clone()) });
        let accepted = matches!(outcome, Outcome::Accepted { .. } | Outcome::Unchanged { .. });
        if let Report::Registered { name, back_end } = report {
            let now = self.now;
            self.nodes[at].house.confirm(now, &name, back_end.incarnation, accepted);
        }
        self.nodes[at].reporting = false;
        self.post(at);
    }

    /// A node's own half: fresh view, lane, holder, and off it goes.
    fn request(&mut self) {
        let from = rand::Rng::random_range(&mut self.random, 0..self.plan.nodes);
        let key = format!("k{}", rand::Rng::random_range(&mut self.random, 0..6));
        self.tries += 1;
        let (now, wait) = (self.now, self.hop());
        let node = &self.nodes[from];
        if node.frozen || node.cut || !node.view.fresh(now) || node.view.slice.lane("seat", "seat", "POST", "/take").is_none() {
            return;
        }
        let Some(term) = node.view.slice.term("seat", &key) else { return };
        let Some((back_end, incarnation)) = term.holder.clone() else { return };
        let dispatch = wings::Dispatch {
            number: 0,
            try_id: format!("t{}", self.tries),
            ordinal: 0,
            sender_service: "seat".into(),
            lane: "take".into(),
            service: "seat".into(),
            incarnation,
            method: "POST".into(),
            path: "/take".into(),
            query: String::new(),
            headers: vec![],
            body: vec![],
            key: Some(key),
            fence: Some(term.fence),
            left: WAIT,
            importance: 5,
            mark: 0,
            back_end: back_end.clone(),
        };
        let to: usize = back_end[1..].parse().unwrap_or(0);
        // Some dispatches reach the far usher twice: a second arrival must not run.
        let twice = self.tries.is_multiple_of(10);
        self.at(now + wait, Event::Arrive(Box::new(dispatch.clone()), to));
        if twice {
            self.at(now + wait + 70_000, Event::Arrive(Box::new(dispatch), to));
        }
    }

    fn arrive(&mut self, dispatch: wings::Dispatch, at: usize) {
        if self.nodes[at].cut {
            return;
        }
        let (now, ticket) = (self.now, self.now * 1_000 + self.tries);
        let view = self.nodes[at].view.clone();
        let granted = self.nodes[at].house.enter(now, &view, ticket, dispatch);
        granted.into_iter().filter_map(|(_, entered)| entered.ok()).for_each(|permit| self.run(at, permit));
    }

    /// The back end works at most until its wait is over, as its contract says; the process that
    /// registered the address does the work, whoever has come after it.
    fn run(&mut self, at: usize, permit: stage::house::Permit) {
        let now = self.now;
        self.runs += 1;
        let process: u64 = permit.address.rsplit(':').next().and_then(|port| port.parse::<u64>().ok()).unwrap_or(1_000) - 1_000;
        let length = rand::Rng::random_range(&mut self.random, 1_000..WAIT);
        let end = (now + length).min(permit.until);
        if !self.ran.insert(permit.identity.1.clone()) {
            self.broken.push(format!("{} ran twice", permit.identity.1));
        }
        if let Some(forbidden) = self.forbidden.filter(|since| now > since + IN_FORCE) {
            self.broken.push(format!("ran at {now}, the lane was taken away at {forbidden}"));
        }
        if let Some(drained) = self.drained.get(&process).filter(|since| now > **since + IN_FORCE) {
            self.broken.push(format!("ran at {now}, the back end drained since {drained}"));
        }
        // A dead process ends nothing, but what it had begun may still be at work until its wait is over.
        let key = permit.key.clone().unwrap_or_default();
        self.spans.push((now, end, key, process));
        let life = self.nodes[at].life;
        self.at(end, Event::Done(at, life, Box::new(permit)));
    }
}
