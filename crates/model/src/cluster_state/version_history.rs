//! Which content was accepted under which version of each item, so that two operators are never
//! both told that theirs is in force under one number, and a repeat of what was accepted is told
//! from a second content.

use std::collections::BTreeMap;

use sha2::{Digest as _, Sha256};

use super::items::{self, Item, ItemCall, ItemKey, ItemVersion, Items};
use crate::VersionConflict;

/// The latest versions of an item whose contents are remembered. An operator repeats an order for
/// seconds, and an item changes a few times a day; what is older counts as a repeat, as it was
/// confirmed or overtaken long ago.
const VERSIONS_KEPT_PER_ITEM: usize = 16;

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

/// The digest of each item of a call, in its order.
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
    /// Remembers what a call brought into force. `digests` are those of the call, which has no
    /// conflicts.
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
            let surplus = versions.len().saturating_sub(VERSIONS_KEPT_PER_ITEM);
            versions.drain(..surplus);
        }
    }

    /// Every item of the call that has other content than was accepted under its version, or that
    /// stands twice in the call with two contents under one version.
    pub(crate) fn conflicts(&self, items: &Items, digests: &CallDigests) -> Vec<VersionConflict> {
        let mut sent: BTreeMap<(&ItemKey, ItemVersion), ContentDigest> = BTreeMap::new();
        let mut conflicts = Vec::new();
        for (key, version, digest) in &digests.0 {
            let accepted = self.digest_under(key, *version);
            let earlier = *sent.entry((key, *version)).or_insert(*digest);
            if earlier != *digest || accepted.is_some_and(|accepted| accepted != *digest) {
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

/// Alike for contents that differ only in white space and in the order of fields.
///
/// It is stored, so the JSON of an item's body must not change.
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
