//! What must hold in every run, checked while it runs and at its end (design 9.3).

#[derive(Default)]
pub struct Findings {
    /// What was handed to a seat, to which, and when.
    pub submitted: std::collections::BTreeMap<Vec<u8>, (u16, u64)>,
    /// The longest an entry took until its own seat had applied it.
    pub slowest: u64,
    /// The one value of each instance, by whoever applied it first.
    chosen: std::collections::BTreeMap<u64, Vec<u8>>,
    /// What its own seat applied: an operator may have been told "accepted".
    answered: std::collections::BTreeMap<u64, Vec<u8>>,
    asked: std::collections::BTreeMap<u64, Option<u64>>,
    pub reads_done: u64,
    pub broken: Vec<String>,
}

impl Findings {
    pub fn applied(&mut self, now: u64, seat: u16, at: u64, value: &[u8], seats: u16) {
        let since = self.submitted.get(value).copied();
        if since.is_none() {
            self.broken.push(format!("seat {seat} applied at {at} what nobody proposed"));
        }
        let held = self.chosen.entry(at).or_insert_with(|| value.to_vec());
        if held != value {
            self.broken.push(format!("instance {at} has two values, the second at seat {seat}"));
        }
        if at % seats as u64 == seat as u64 {
            self.slowest = self.slowest.max(now.saturating_sub(since.map(|(_, at)| at).unwrap_or(now)));
            self.answered.insert(at, value.to_vec());
        }
    }

    /// Whoever waited at a seat that died waits no longer.
    pub fn crashed(&mut self, seat: u16, now: u64) {
        self.submitted.values_mut().filter(|(held, _)| *held == seat).for_each(|(_, at)| *at = now.max(*at) + 3_600_000_000);
    }

    /// A read must see at least what any seat had applied when it was asked: that may have been told (design 11.6).
    pub fn read_asked(&mut self, token: u64) {
        self.asked.insert(token, self.chosen.last_key_value().map(|(at, _)| *at));
    }

    pub fn read_done(&mut self, token: u64, applied: u64) {
        self.reads_done += 1;
        if let Some(Some(told)) = self.asked.remove(&token)
            && applied <= told
        {
            self.broken.push(format!("read {token} was proved at {applied} though {told} had been applied before it"));
        }
    }

    pub fn answered(&self) -> usize {
        self.answered.len()
    }

    /// At the end, with all faults mended: all copies are equal and lack nothing that was answered.
    pub fn close(&mut self, nodes: &[super::world::Node]) {
        let longest = nodes.iter().map(|node| &node.history).max_by_key(|history| history.len()).cloned().unwrap_or_default();
        nodes.iter().zip(0..).for_each(|(node, seat): (&super::world::Node, usize)| {
            if node.history != longest {
                let differs = node.history.iter().zip(&longest).position(|(a, b)| a != b);
                self.broken.push(format!(
                    "seat {seat} ends with {} entries, the longest copy has {}, first difference {differs:?}",
                    node.history.len(),
                    longest.len()
                ));
            }
        });
        let held: std::collections::BTreeMap<u64, Vec<u8>> = longest.into_iter().collect();
        let lost: Vec<u64> = self.answered.iter().filter(|(at, value)| held.get(at) != Some(value)).map(|(at, _)| *at).collect();
        if !lost.is_empty() {
            self.broken.push(format!("answered entries vanished: {lost:?}"));
        }
        (0..nodes.len()).map(|seat| format!("last {seat}").into_bytes()).for_each(|last| {
            if !held.values().any(|value| *value == last) {
                self.broken.push(format!("{:?} was never applied though all faults were mended", String::from_utf8_lossy(&last)));
            }
        });
    }
}
