//! Whose illness is its own: those told ill for a while, where it was not many at a time (design 13.8). Pure.

use model::{BackEndName, Micros};

#[derive(Default)]
pub struct Ills {
    since: std::collections::BTreeMap<BackEndName, Micros>,
    /// Many were ill at one time, so what they share is; until then.
    common: Micros,
}

/// Others that fall ill for the same cause are told so within this.
const WAIT: Micros = 300_000;
/// The part of all that may be ill.
const MOST: usize = 3;
/// How long a common cause is taken to go on after many were ill.
const COMMON: Micros = 5_000_000;

impl Ills {
    pub fn now(&mut self, now: Micros, told: &super::Told, all: usize) -> Vec<BackEndName> {
        let ill = |name: &BackEndName| told.get(name).is_some_and(|(_, load)| load.ill);
        self.since.retain(|name, _| ill(name));
        told.keys().filter(|name| ill(name)).for_each(|name| {
            self.since.entry(name.clone()).or_insert(now);
        });
        if self.since.len() * MOST > all {
            self.common = now + COMMON;
        }
        let long = self.since.iter().filter(|(_, since)| now >= self.common && now >= **since + WAIT);
        long.map(|(name, _)| name.clone()).collect()
    }
}
