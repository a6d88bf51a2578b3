//! Pairs that are said again and again on one conn are said by number (design 13.2). Both ends keep the same table,
//! as a conn is one FIFO channel; a new conn begins with empty ones.

pub type Pair = (String, Vec<u8>);

/// What new names and pairs were added to the table, and the pairs themselves.
#[derive(Clone, Debug, Default, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct Said {
    names: Vec<String>,
    kept: Vec<(u16, Vec<u8>)>,
    values: Vec<(u16, Vec<u8>)>,
    known: Vec<u16>,
}

const NAMES: usize = 512;
const PAIRS: usize = 2_048;
/// Pairs seen once, of which a second sight makes one worth keeping.
const ONCE: usize = 4_096;

#[derive(Default)]
pub struct Speaker {
    names: std::collections::HashMap<String, u16>,
    pairs: std::collections::HashMap<Pair, u16>,
    once: std::collections::HashSet<Pair>,
}

#[derive(Default)]
pub struct Listener {
    names: Vec<String>,
    pairs: Vec<Pair>,
}

impl Speaker {
    pub fn say(&mut self, pairs: Vec<Pair>) -> Said {
        let mut said = Said::default();
        // Pairs that share a name keep their order: none of them is said by number.
        let distinct = pairs.iter().map(|(name, _)| name).collect::<std::collections::HashSet<_>>().len() == pairs.len();
        pairs.into_iter().for_each(|pair| {
            if let Some(known) = self.pairs.get(&pair).filter(|_| distinct) {
                return said.known.push(*known);
            }
            let name = match self.names.get(&pair.0) {
                Some(name) => *name,
                None => {
                    let next = self.names.len() as u16;
                    self.names.insert(pair.0.clone(), next);
                    said.names.push(pair.0.clone());
                    next
                }
            };
            let again = distinct && self.pairs.len() < PAIRS && self.once.contains(&pair);
            if again {
                self.pairs.insert(pair.clone(), self.pairs.len() as u16);
                said.kept.push((name, pair.1));
            } else {
                said.values.push((name, pair.1.clone()));
                if self.once.len() >= ONCE {
                    self.once.clear();
                }
                self.once.insert(pair);
            }
        });
        said
    }

    /// A table that is full of names is begun anew with a new conn.
    pub fn is_full(&self) -> bool {
        self.names.len() > NAMES
    }
}

impl Listener {
    /// `None`: the other end speaks of what it never said.
    pub fn hear(&mut self, said: Said) -> Option<Vec<Pair>> {
        self.names.extend(said.names);
        let named = |(name, value): (u16, Vec<u8>)| self.names.get(name as usize).map(|name| (name.clone(), value));
        let values = said.values.into_iter().map(named).collect::<Option<Vec<Pair>>>()?;
        let kept = said.kept.into_iter().map(named).collect::<Option<Vec<Pair>>>()?;
        self.pairs.extend(kept.iter().cloned());
        let known = said.known.into_iter().map(|at| self.pairs.get(at as usize).cloned()).collect::<Option<Vec<Pair>>>()?;
        (self.names.len() <= 2 * NAMES && self.pairs.len() <= PAIRS).then(|| values.into_iter().chain(kept).chain(known).collect())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_heard_is_what_was_said_and_repeats_cost_little() {
        let (mut speaker, mut listener) = (Speaker::default(), Listener::default());
        let request = |at: u32| {
            let fixed =
                [("host", "a.example"), ("user-agent", "sdk/1.9"), ("accept", "*/*")].map(|(name, value)| (name.to_string(), value.as_bytes().to_vec()));
            fixed.into_iter().chain([("try".to_string(), format!("{at:016x}").into_bytes())]).collect::<Vec<Pair>>()
        };
        let lengths: Vec<usize> = (0..5)
            .map(|at| {
                let said = speaker.say(request(at));
                let length = rkyv::to_bytes::<rkyv::rancor::Error>(&said).expect("bytes").len();
                let mut heard = listener.hear(said).expect("known words");
                let mut sent = request(at);
                heard.sort();
                sent.sort();
                assert_eq!(heard, sent);
                length
            })
            .collect();
        assert!(lengths[4] * 2 < lengths[0], "{lengths:?}");
    }

    #[test]
    fn two_of_one_name_keep_their_order_and_unsaid_numbers_are_noticed() {
        let (mut speaker, mut listener) = (Speaker::default(), Listener::default());
        let twice: Vec<Pair> = ["b", "a", "b"].map(|value| ("cookie".to_string(), value.as_bytes().to_vec())).into();
        (0..3).for_each(|_| assert_eq!(listener.hear(speaker.say(twice.clone())), Some(twice.clone())));
        let one = vec![("x".to_string(), vec![1])];
        (0..2).for_each(|_| drop(speaker.say(one.clone())));
        assert_eq!(Listener::default().hear(speaker.say(one)), None);
    }
}
