//! Which content was taken under which version of each item, so that two operators are never both told that theirs
//! stands under one number, and a repeat of what was taken is told from a second content.

use super::items::{Item, ItemCall, ItemKind, ItemName, ItemVersion, Items};
use crate::VersionConflict;
use std::collections::BTreeMap;

/// The latest versions of an item whose contents are remembered. An operator repeats an order for seconds, and an item
/// changes a few times a day; what is older counts as a repeat, as it was confirmed or overtaken long ago.
const VERSIONS_KEPT_PER_ITEM: usize = 16;

/// The first eight bytes of the SHA-256 of an item's content.
type Digest = u64;

type ItemKey = (ItemKind, ItemName);

#[derive(Clone, Debug, Default, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct VersionHistory(BTreeMap<ItemKey, Vec<AcceptedVersion>>);

#[derive(Clone, Debug, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
struct AcceptedVersion {
    version: ItemVersion,
    digest: Digest,
}

impl VersionHistory {
    /// Remembers what a call brought into force.
    pub(crate) fn record(&mut self, newer: &Items) {
        for (key, item) in newer {
            let versions = self.0.entry(key.clone()).or_default();
            versions.push(AcceptedVersion {
                version: item.version,
                digest: content_digest(item),
            });
            let surplus = versions.len().saturating_sub(VERSIONS_KEPT_PER_ITEM);
            versions.drain(..surplus);
        }
    }

    /// Every item of the call that has other content than was taken under its version, or that stands twice in the
    /// call with two contents under one version.
    pub(crate) fn conflicts(&self, items: &Items, call: &ItemCall) -> Vec<VersionConflict> {
        let mut sent: BTreeMap<(ItemKey, ItemVersion), Digest> = Default::default();
        let mut conflicts = Vec::new();
        for (key, item) in super::items::items_of_call(call) {
            let digest = content_digest(&item);
            let taken = self.digest_under(&key, item.version);
            let earlier = *sent.entry((key.clone(), item.version)).or_insert(digest);
            if earlier != digest || taken.is_some_and(|taken| taken != digest) {
                let held = items.get(&key).map_or(item.version, |held| held.version);
                conflicts.push(VersionConflict {
                    kind: key.0,
                    name: key.1,
                    sent_version: item.version,
                    current_version: held,
                });
            }
        }
        conflicts
    }

    fn digest_under(&self, key: &ItemKey, version: ItemVersion) -> Option<Digest> {
        let versions = self.0.get(key)?;
        versions
            .iter()
            .find(|taken| taken.version == version)
            .map(|taken| taken.digest)
    }
}

/// Alike for contents that differ only in white space and in the order of fields.
fn content_digest(item: &Item) -> Digest {
    let body = || serde_json::to_value(&item.body).unwrap_or_default();
    let content: serde_json::Value = match item.text.is_empty() {
        true => body(),
        false => serde_json::from_str(&item.text).unwrap_or_else(|_| body()),
    };
    let hash = <sha2::Sha256 as sha2::Digest>::digest(content.to_string().as_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&hash[..8]);
    Digest::from_be_bytes(first)
}
