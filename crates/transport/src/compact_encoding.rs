//! Compact encoding of headers: repeated headers of a connection are sent by index (design 13.2).
//!
//! Both ends keep the same tables, which works because a connection delivers everything in order. A
//! name gets its index when it is first sent, a whole header when it is sent for the second time. A
//! new connection starts with empty tables.

use std::collections::{HashMap, HashSet};

use crate::Error;

/// A header's name and value.
pub type Header = (String, Vec<u8>);

/// The headers of one message; headers of the same name keep the order in which they were sent.
pub type Headers = Vec<Header>;

/// Number of indexed names above which a connection is replaced; see [`HeaderEncoder::is_full`].
const MAX_NAMES: usize = 512;
/// Maximum number of whole headers that are sent by index.
const MAX_HEADERS: usize = 2_048;
/// Maximum number of headers stored as sent once; a header gets an index the second time.
const MAX_SEEN_ONCE: usize = 4_096;

/// The encoded headers of one message, with their additions to the tables.
#[derive(Clone, Debug, Default, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct EncodedHeaders {
    /// Names that get the next free name indices.
    new_names: Vec<String>,
    /// Headers (name index, value) that get the next free header indices.
    indexed: Vec<(u16, Vec<u8>)>,
    /// Headers (name index, value) that are not added to the header table.
    literals: Vec<(u16, Vec<u8>)>,
    /// Indices of headers sent before.
    known: Vec<u16>,
}

/// Encodes headers with the tables of the sending end.
#[derive(Default)]
pub struct HeaderEncoder {
    name_indices: HashMap<String, u16>,
    header_indices: HashMap<Header, u16>,
    seen_once: HashSet<Header>,
}

/// Decodes headers with the tables of the receiving end.
#[derive(Default)]
pub struct HeaderDecoder {
    names: Vec<String>,
    headers: Vec<Header>,
}

impl HeaderEncoder {
    /// Encodes the headers of one message. The message has to be sent, because the tables already
    /// contain its additions.
    pub fn encode(&mut self, headers: Headers) -> EncodedHeaders {
        let mut encoded = EncodedHeaders::default();
        // Headers of the same name have to keep their order, and indexed headers do not: a message
        // with such headers sends none by index.
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
                self.record_first_use(header);
            }
        }
        encoded
    }

    /// Returns whether the connection should be replaced by a new one with empty tables.
    pub fn is_full(&self) -> bool {
        self.name_indices.len() > MAX_NAMES
    }

    /// Returns the index of the header's name and assigns a new one if the name was never sent.
    fn name_index(&mut self, (name, _): &Header, new_names: &mut Vec<String>) -> u16 {
        if let Some(index) = self.name_indices.get(name) {
            return *index;
        }
        let index = self.name_indices.len() as u16;
        self.name_indices.insert(name.clone(), index);
        new_names.push(name.clone());
        index
    }

    fn record_first_use(&mut self, header: Header) {
        if self.seen_once.len() >= MAX_SEEN_ONCE {
            self.seen_once.clear();
        }
        self.seen_once.insert(header);
    }
}

impl HeaderDecoder {
    /// Decodes the headers of the next message; the order of headers of different names may change.
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`] if an index was never assigned or the tables exceed their limits. The
    /// tables of the two ends may then differ, so the connection has to be closed.
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

    /// Replaces name indices by the names.
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
