//! Compact encoding of headers: what is repeated on one connection is sent by number (design 13.2).
//!
//! Both ends keep the same tables, which works because a connection delivers everything in order: a
//! name is numbered when it is first sent, a whole header when it is sent for the second time. A new
//! connection begins with empty tables.

use std::collections::{HashMap, HashSet};

use crate::Error;

/// A header's name and value.
pub type Header = (String, Vec<u8>);

/// The headers of one message; those of the same name are in the order in which they were sent.
pub type Headers = Vec<Header>;

/// Names after which a connection is to be replaced; see [`HeaderEncoder::is_full`].
const MAX_NAMES: usize = 512;
/// Whole headers that are sent by number at the most.
const MAX_HEADERS: usize = 2_048;
/// Headers remembered as seen once, of which a second sight makes one worth a number.
const MAX_SEEN_ONCE: usize = 4_096;

/// The headers of one message as they travel, with what they add to the tables.
#[derive(Clone, Debug, Default, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct EncodedHeaders {
    /// Names that get the next free numbers.
    new_names: Vec<String>,
    /// Headers (number of the name, value) that get the next free numbers.
    indexed: Vec<(u16, Vec<u8>)>,
    /// Headers (number of the name, value) that get none.
    literals: Vec<(u16, Vec<u8>)>,
    /// Numbers of headers sent before.
    known: Vec<u16>,
}

/// The sending end's tables.
#[derive(Default)]
pub struct HeaderEncoder {
    name_indices: HashMap<String, u16>,
    header_indices: HashMap<Header, u16>,
    seen_once: HashSet<Header>,
}

/// The receiving end's tables.
#[derive(Default)]
pub struct HeaderDecoder {
    names: Vec<String>,
    headers: Vec<Header>,
}

impl HeaderEncoder {
    /// Encodes the headers of one message, which has to be sent: the tables now count on it.
    pub fn encode(&mut self, headers: Headers) -> EncodedHeaders {
        let mut encoded = EncodedHeaders::default();
        // Headers that share a name keep their order, so none of that message is sent by number.
        let may_index = has_distinct_names(&headers);
        for header in headers {
            if let Some(index) = self.header_indices.get(&header).filter(|_| may_index) {
                encoded.known.push(*index);
                continue;
            }
            let name = self.name_index(&header, &mut encoded.new_names);
            let is_worth_indexing =
                self.header_indices.len() < MAX_HEADERS && self.seen_once.contains(&header);
            if may_index && is_worth_indexing {
                let (_, value) = header.clone();
                self.header_indices
                    .insert(header, self.header_indices.len() as u16);
                encoded.indexed.push((name, value));
            } else {
                let (_, value) = header.clone();
                encoded.literals.push((name, value));
                self.remember(header);
            }
        }
        encoded
    }

    /// Whether a new connection, with empty tables, should take over from this one.
    pub fn is_full(&self) -> bool {
        self.name_indices.len() > MAX_NAMES
    }

    /// The number of the header's name, which is a new one if it was never sent.
    fn name_index(&mut self, (name, _): &Header, new_names: &mut Vec<String>) -> u16 {
        if let Some(index) = self.name_indices.get(name) {
            return *index;
        }
        let index = self.name_indices.len() as u16;
        self.name_indices.insert(name.clone(), index);
        new_names.push(name.clone());
        index
    }

    fn remember(&mut self, header: Header) {
        if self.seen_once.len() >= MAX_SEEN_ONCE {
            self.seen_once.clear();
        }
        self.seen_once.insert(header);
    }
}

impl HeaderDecoder {
    /// Decodes the headers of the next message; headers of different names may change places.
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`] if a number was never given out or the tables outgrow their bounds; the
    /// tables of the two ends may then differ, and the connection has to be closed.
    pub fn decode(&mut self, encoded: EncodedHeaders) -> Result<Headers, Error> {
        self.names.extend(encoded.new_names);
        let mut headers = self.with_names(encoded.literals)?;
        let indexed = self.with_names(encoded.indexed)?;
        self.headers.extend(indexed.iter().cloned());
        headers.extend(indexed);
        for index in encoded.known {
            headers.push(
                self.headers
                    .get(usize::from(index))
                    .ok_or(Error::Malformed)?
                    .clone(),
            );
        }
        if self.names.len() > 2 * MAX_NAMES || self.headers.len() > MAX_HEADERS {
            return Err(Error::Malformed);
        }
        Ok(headers)
    }

    /// Puts the names in the place of their numbers.
    fn with_names(&self, headers: Vec<(u16, Vec<u8>)>) -> Result<Headers, Error> {
        let named = |(index, value)| {
            let name = self.names.get(usize::from(index)).ok_or(Error::Malformed)?;
            Ok((name.clone(), value))
        };
        headers.into_iter().map(named).collect()
    }
}

fn has_distinct_names(headers: &[Header]) -> bool {
    let names: HashSet<&str> = headers.iter().map(|(name, _)| name.as_str()).collect();
    names.len() == headers.len()
}
