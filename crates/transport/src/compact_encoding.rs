//! Pairs that are said again and again on one conn are said by number (design 13.2). Both ends keep the same table,
//! as a conn is one FIFO channel; a new conn begins with empty ones.

use std::collections::HashMap;
use std::collections::HashSet;

pub type Header = (String, Vec<u8>);

/// What new names and pairs were added to the table, and the pairs themselves.
#[derive(Clone, Debug, Default, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct EncodedHeaders {
    new_names: Vec<String>,
    indexed: Vec<(u16, Vec<u8>)>,
    literals: Vec<(u16, Vec<u8>)>,
    known: Vec<u16>,
}

const MAX_NAMES: usize = 512;
const MAX_HEADERS: usize = 2_048;
/// Pairs seen once, of which a second sight makes one worth keeping.
const MAX_SEEN_ONCE: usize = 4_096;

#[derive(Default)]
pub struct HeaderEncoder {
    name_indices: HashMap<String, u16>,
    header_indices: HashMap<Header, u16>,
    seen_once: HashSet<Header>,
}

#[derive(Default)]
pub struct HeaderDecoder {
    names: Vec<String>,
    headers: Vec<Header>,
}

impl HeaderEncoder {
    pub fn encode(&mut self, pairs: Vec<Header>) -> EncodedHeaders {
        let mut said = EncodedHeaders::default();
        // Pairs that share a name keep their order: none of them is said by number.
        let distinct = pairs
            .iter()
            .map(|(name, _)| name)
            .collect::<HashSet<_>>()
            .len()
            == pairs.len();
        pairs.into_iter().for_each(|pair| {
            if let Some(known) = self.header_indices.get(&pair).filter(|_| distinct) {
                return said.known.push(*known);
            }
            let name = match self.name_indices.get(&pair.0) {
                Some(name) => *name,
                None => {
                    let next = self.name_indices.len() as u16;
                    self.name_indices.insert(pair.0.clone(), next);
                    said.new_names.push(pair.0.clone());
                    next
                }
            };
            let again = distinct
                && self.header_indices.len() < MAX_HEADERS
                && self.seen_once.contains(&pair);
            if again {
                self.header_indices
                    .insert(pair.clone(), self.header_indices.len() as u16);
                said.indexed.push((name, pair.1));
            } else {
                said.literals.push((name, pair.1.clone()));
                if self.seen_once.len() >= MAX_SEEN_ONCE {
                    self.seen_once.clear();
                }
                self.seen_once.insert(pair);
            }
        });
        said
    }

    /// A table that is full of names is begun anew with a new conn.
    pub fn is_full(&self) -> bool {
        self.name_indices.len() > MAX_NAMES
    }
}

impl HeaderDecoder {
    /// `None`: the other end speaks of what it never said.
    pub fn decode(&mut self, said: EncodedHeaders) -> Option<Vec<Header>> {
        self.names.extend(said.new_names);
        let named = |(name, value): (u16, Vec<u8>)| {
            self.names
                .get(name as usize)
                .map(|name| (name.clone(), value))
        };
        let values = said
            .literals
            .into_iter()
            .map(named)
            .collect::<Option<Vec<Header>>>()?;
        let kept = said
            .indexed
            .into_iter()
            .map(named)
            .collect::<Option<Vec<Header>>>()?;
        self.headers.extend(kept.iter().cloned());
        let known = said
            .known
            .into_iter()
            .map(|at| self.headers.get(at as usize).cloned())
            .collect::<Option<Vec<Header>>>()?;
        (self.names.len() <= 2 * MAX_NAMES && self.headers.len() <= MAX_HEADERS)
            .then(|| values.into_iter().chain(kept).chain(known).collect())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_heard_is_what_was_said_and_repeats_cost_little() {
        let (mut speaker, mut listener) = (HeaderEncoder::default(), HeaderDecoder::default());
        let request = |at: u32| {
            let fixed = [
                ("host", "a.example"),
                ("user-agent", "sdk/1.9"),
                ("accept", "*/*"),
            ]
            .map(|(name, value)| (name.to_string(), value.as_bytes().to_vec()));
            fixed
                .into_iter()
                .chain([("try".to_string(), format!("{at:016x}").into_bytes())])
                .collect::<Vec<Header>>()
        };
        let lengths: Vec<usize> = (0..5)
            .map(|at| {
                let said = speaker.encode(request(at));
                let length = rkyv::to_bytes::<rkyv::rancor::Error>(&said)
                    .expect("bytes")
                    .len();
                let mut heard = listener.decode(said).expect("known words");
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
        let (mut speaker, mut listener) = (HeaderEncoder::default(), HeaderDecoder::default());
        let twice: Vec<Header> = ["b", "a", "b"]
            .map(|value| ("cookie".to_string(), value.as_bytes().to_vec()))
            .into();
        (0..3).for_each(|_| {
            assert_eq!(
                listener.decode(speaker.encode(twice.clone())),
                Some(twice.clone())
            )
        });
        let one = vec![("x".to_string(), vec![1])];
        (0..2).for_each(|_| drop(speaker.encode(one.clone())));
        assert_eq!(HeaderDecoder::default().decode(speaker.encode(one)), None);
    }
}
