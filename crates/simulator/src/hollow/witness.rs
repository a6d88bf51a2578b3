//! One more follower, which counts what the log says as it hears it.

use model::bill::{Programme, Rows};

/// Sums from the beginning; a stage is the difference of two.
#[derive(Clone, Debug, Default, serde::Serialize)]
pub struct Tally {
    /// Entries that changed the bill.
    pub entries: u64,
    pub placements: u64,
    pub keys_moved: u64,
    pub rows_moved: u64,
    /// Nodes that the log takes for absent: now, and at most since it was last asked, by region.
    #[serde(skip)]
    pub absent: Vec<usize>,
    #[serde(skip)]
    pub absent_most: Vec<usize>,
}

pub struct Witness {
    pub following: control::Following,
    tally: std::sync::Arc<std::sync::Mutex<Tally>>,
}

impl Witness {
    pub fn start(plan: std::sync::Arc<super::Plan>, known: control::Known) -> Witness {
        let (name, zone) = ("witness".to_string(), plan.zone(0));
        let own = transport::Greeting {
            purpose: transport::Purpose::Subscribe,
            name: name.clone(),
            zone: zone.clone(),
            address: "127.0.0.1:1".into(),
            incarnation: 1,
            core: None,
            blank: false,
            expects: None,
            known: Vec::new(),
        };
        let env = control::FollowingEnv { name, zone, ask_every: 1_000_000, patience: 2_000_000 };
        let following = control::following::start(env, known, move || own.clone(), model::log::quiet());
        let tally = std::sync::Arc::new(std::sync::Mutex::new(Tally::default()));
        let (counts, line) = (tally.clone(), following.clone());
        tokio::spawn(async move {
            let mut moved = line.moved.clone();
            let mut last = std::sync::Arc::new(Programme::default());
            while moved.changed().await.is_ok() {
                let next = line.outlook.load().programme.clone();
                if next.position != last.position {
                    let mut counts = counts.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
                    counts.add(&plan, &last, &next);
                    last = next;
                }
            }
        });
        Witness { following, tally }
    }

    pub fn programme(&self) -> std::sync::Arc<Programme> {
        self.following.outlook.load().programme.clone()
    }

    pub fn tally(&self) -> Tally {
        self.tally.lock().unwrap_or_else(std::sync::PoisonError::into_inner).clone()
    }

    /// The most that were absent since the last time.
    pub fn absent_most(&self) -> Vec<usize> {
        let mut tally = self.tally.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let now = tally.absent.clone();
        std::mem::replace(&mut tally.absent_most, now)
    }
}

impl Tally {
    fn add(&mut self, plan: &super::Plan, last: &Programme, next: &Programme) {
        self.entries += next.position - last.position;
        let empty = std::sync::Arc::new((0, model::bill::rows::empty()));
        next.castings.iter().for_each(|(service, held)| {
            let before = last.castings.get(service).unwrap_or(&empty);
            if !std::sync::Arc::ptr_eq(before, held) {
                self.placements += (before.0 != held.0) as u64;
                let (rows, keys) = moved(&before.1, &held.1);
                (self.rows_moved, self.keys_moved) = (self.rows_moved + rows, self.keys_moved + keys);
            }
        });
        if !std::sync::Arc::ptr_eq(&last.places, &next.places) {
            let gone = next.places.iter().filter(|(_, place)| !place.present).filter_map(|(name, _)| name[1..].parse::<usize>().ok());
            self.absent = gone.fold(vec![0; plan.regions], |mut absent, at| {
                absent[plan.region(at)] += 1;
                absent
            });
            self.absent_most.resize(plan.regions, 0);
            self.absent_most.iter_mut().zip(&self.absent).for_each(|(most, now)| *most = (*most).max(*now));
        }
    }
}

/// Rows and keys of `new` that another holder has than in `old`.
pub fn moved(old: &Rows, new: &Rows) -> (u64, u64) {
    let pieces = new.iter().filter(|row| row.holder.is_some()).flat_map(|row| {
        let others = old.iter().filter(|held| held.from <= row.to && row.from <= held.to && held.holder != row.holder);
        others.map(|held| (held.to.min(row.to) - held.from.max(row.from)) as u64 + 1)
    });
    pieces.fold((0, 0), |(rows, keys), size| (rows + 1, keys + size))
}

#[cfg(test)]
mod tests {
    use model::bill::rows;

    #[test]
    fn keys_that_change_hands_are_counted_once() {
        let cast = |parts: &[(u16, u16, &str)]| -> Vec<(u16, u16, String)> { parts.iter().map(|(from, to, name)| (*from, *to, name.to_string())).collect() };
        let first = rows::recast(rows::empty(), &cast(&[(0, 9_999, "a"), (10_000, u16::MAX, "b")]), 1);
        let second = rows::recast(first.clone(), &cast(&[(5_000, 14_999, "c")]), 2);
        assert_eq!(super::moved(&rows::empty(), &first), (2, 65_536));
        assert_eq!(super::moved(&first, &second), (2, 10_000));
        assert_eq!(super::moved(&second, &second), (0, 0));
    }
}
