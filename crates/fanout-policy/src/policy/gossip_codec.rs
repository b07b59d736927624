//! Codec of gossip messages: three bytes for each server, its short name and its status.

use crate::api::{MAX_GOSSIP_BYTES, NodeId};
use const_fnv1a_hash::fnv1a_hash_16_xor;

/// Size of an encoded entry.
const ENTRY_BYTES: usize = 3;
/// Status byte of a server at which attempts have just failed.
const FAILING: u8 = 255;
/// Largest status byte that states work.
const MAX_WORK_STEPS: f64 = 254.0;

/// What a gossip entry says about a server.
pub(crate) enum GossipStatus {
    /// The sender's attempts have just failed there.
    Failing,
    /// The sender's outstanding work there, in steps.
    Work {
        /// Number of steps.
        steps: f64,
    },
}

/// A short name for a server. Two servers may share one, which only makes the information less
/// precise.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ShortName([u8; 2]);

impl ShortName {
    /// The short name of a server: a hash of its name.
    pub(crate) fn of(node: &NodeId) -> Self {
        let hash = fnv1a_hash_16_xor(node.0.as_bytes(), None);
        ShortName(hash.to_be_bytes())
    }
}

/// One entry of a gossip message.
pub(crate) struct GossipEntry {
    /// The server.
    pub(crate) server: ShortName,
    /// What the sender says about it.
    pub(crate) status: GossipStatus,
}

impl GossipEntry {
    /// The entries as messages of at most [`MAX_GOSSIP_BYTES`].
    pub(crate) fn encode(entries: &[GossipEntry]) -> Vec<Vec<u8>> {
        let mut bytes = Vec::new();
        for entry in entries {
            bytes.extend(entry.server.0);
            bytes.push(match entry.status {
                GossipStatus::Failing => FAILING,
                GossipStatus::Work { steps } => steps.round().min(MAX_WORK_STEPS) as u8,
            });
        }
        let message_bytes = MAX_GOSSIP_BYTES / ENTRY_BYTES * ENTRY_BYTES;
        bytes.chunks(message_bytes).map(<[u8]>::to_vec).collect()
    }

    /// The entries of a message; `None` if it is malformed.
    pub(crate) fn decode(bytes: &[u8]) -> Option<Vec<GossipEntry>> {
        if bytes.is_empty() || !bytes.len().is_multiple_of(ENTRY_BYTES) {
            return None;
        }
        let entry = |entry: &[u8]| GossipEntry {
            server: ShortName([entry[0], entry[1]]),
            status: match entry[2] {
                FAILING => GossipStatus::Failing,
                steps => GossipStatus::Work {
                    steps: f64::from(steps),
                },
            },
        };
        Some(bytes.chunks(ENTRY_BYTES).map(entry).collect())
    }
}
