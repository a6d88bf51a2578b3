//! The history of accepted versions and contents of each item. It ensures that two operators never
//! both get a confirmation for different contents under one version, and distinguishes a repeat of
//! an accepted item from different content.

use std::collections::BTreeMap;

use sha2::{Digest as _, Sha256};

use super::items::{self, Item, ItemCall, ItemKey, ItemVersion, Items};
use crate::VersionConflict;

/// Number of versions per item whose contents are kept. Operators repeat a call for seconds, and an
/// item changes a few times a day; an older version counts as a repeat, because it was confirmed or
/// superseded long ago.
const MAX_STORED_VERSIONS_PER_ITEM: usize = 16;

/// The first eight bytes of the SHA-256 of an item's content.
type ContentDigest = u64;

/// The latest accepted versions of each item, oldest first.
#[derive(Clone, Debug, Default, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub(crate) struct VersionHistory(BTreeMap<ItemKey, Vec<AcceptedVersion>>);

#[derive(Clone, Debug, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
struct AcceptedVersion {
    version: ItemVersion,
    digest: ContentDigest,
}

/// The digest of each item of a call, in the order of the call.
pub(crate) struct CallDigests(Vec<(ItemKey, ItemVersion, ContentDigest)>);

impl CallDigests {
    pub(crate) fn of(call: &ItemCall) -> CallDigests {
        let items = items::items_of_call(call);
        let digests = items.map(|(key, item)| (key, item.version, content_digest(&item)));
        CallDigests(digests.collect())
    }

    fn by_version(&self) -> BTreeMap<(&ItemKey, ItemVersion), ContentDigest> {
        let digests = self.0.iter();
        digests
            .map(|(key, version, digest)| ((key, *version), *digest))
            .collect()
    }
}

impl VersionHistory {
    /// Records the items that a call made current. `digests` are those of the call, which must have
    /// no conflicts.
    pub(crate) fn record(&mut self, newer: &Items, digests: &CallDigests) {
        let digests = digests.by_version();
        for (key, item) in newer {
            let known = digests.get(&(key, item.version)).copied();
            let digest = known.unwrap_or_else(|| content_digest(item));
            let versions = self.0.entry(key.clone()).or_default();
            versions.push(AcceptedVersion {
                version: item.version,
                digest,
            });
            let excess = versions.len().saturating_sub(MAX_STORED_VERSIONS_PER_ITEM);
            versions.drain(..excess);
        }
    }

    /// Returns all items of the call whose content differs from the content accepted under their
    /// version, or that occur twice in the call with different contents under one version.
    pub(crate) fn conflicts(&self, items: &Items, digests: &CallDigests) -> Vec<VersionConflict> {
        let mut sent: BTreeMap<(&ItemKey, ItemVersion), ContentDigest> = BTreeMap::new();
        let mut conflicts = Vec::new();
        for (key, version, digest) in &digests.0 {
            let accepted = self.digest_under(key, *version);
            let previous = *sent.entry((key, *version)).or_insert(*digest);
            if previous != *digest || accepted.is_some_and(|accepted| accepted != *digest) {
                let (kind, name) = key.clone();
                let current_version = items.get(key).map_or(*version, |item| item.version);
                let conflict = VersionConflict {
                    kind,
                    name,
                    sent_version: *version,
                    current_version,
                };
                conflicts.push(conflict);
            }
        }
        conflicts
    }

    fn digest_under(&self, key: &ItemKey, version: ItemVersion) -> Option<ContentDigest> {
        let versions = self.0.get(key)?;
        let accepted = versions.iter().find(|accepted| accepted.version == version);
        accepted.map(|accepted| accepted.digest)
    }
}

/// Returns a digest that is the same for contents that differ only in white space and in the order
/// of fields.
///
/// The digest is stored, so the JSON of an item's body must stay the same.
fn content_digest(item: &Item) -> ContentDigest {
    let body = || serde_json::to_value(&item.body).unwrap_or_default();
    let content: serde_json::Value = if item.text.is_empty() {
        body()
    } else {
        serde_json::from_str(&item.text).unwrap_or_else(|_| body())
    };
    let hash = Sha256::digest(content.to_string().as_bytes());
    let mut first = [0; size_of::<ContentDigest>()];
    first.copy_from_slice(&hash[..size_of::<ContentDigest>()]);
    ContentDigest::from_be_bytes(first)
}
