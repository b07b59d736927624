//! Codec of gossip messages. An entry for one server takes three bytes: two for its short name and
//! one for its status.

use crate::api::{MAX_GOSSIP_BYTES, NodeId};
use const_fnv1a_hash::fnv1a_hash_16_xor;

/// Size of an encoded entry in bytes.
const ENTRY_BYTES: usize = 3;
/// Status byte of a server that the sender has ejected as unresponsive.
const FAILING_STATUS: u8 = 255;
/// Maximum status byte that states outstanding work. The byte is the number of steps, which are the
/// unit of [`GossipStatus::Work`]. If the work is more than this number of steps, this number is
/// published.
const MAX_WORK_STEPS: f64 = 254.0;

/// Status of a server in a gossip entry.
pub(crate) enum GossipStatus {
    /// The sender has ejected the server as unresponsive: one of its attempts timed out or found
    /// the server unreachable, and none has been served since.
    Failing,
    /// The sender has not ejected the server as unresponsive.
    Work {
        /// Outstanding work of the sender at the server, in the unit in which work is published,
        /// see `WORK_STEP_OBJECTIVES` in `load_gossip`.
        steps: f64,
    },
}

/// Short name of a server: a hash of its full name. Two servers may have the same short name. The
/// receiver then applies the entries about both to the server that it added last, so that the
/// published information about the two is less precise.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ShortName([u8; 2]);

impl ShortName {
    /// Returns the short name of a server.
    pub(crate) fn of(node: &NodeId) -> Self {
        let hash = fnv1a_hash_16_xor(node.0.as_bytes(), None);
        ShortName(hash.to_be_bytes())
    }
}

/// Entry of a gossip message for one server.
pub(crate) struct GossipEntry {
    /// Short name of the server.
    pub(crate) server: ShortName,
    /// Status of the server at the sender.
    pub(crate) status: GossipStatus,
}

impl GossipEntry {
    /// Encodes entries into messages of at most [`MAX_GOSSIP_BYTES`] bytes each.
    pub(crate) fn encode(entries: &[GossipEntry]) -> Vec<Vec<u8>> {
        let mut bytes = Vec::new();
        for entry in entries {
            bytes.extend(entry.server.0);
            bytes.push(match entry.status {
                GossipStatus::Failing => FAILING_STATUS,
                GossipStatus::Work { steps } => steps.round().min(MAX_WORK_STEPS) as u8,
            });
        }
        let message_bytes = MAX_GOSSIP_BYTES / ENTRY_BYTES * ENTRY_BYTES;
        bytes.chunks(message_bytes).map(<[u8]>::to_vec).collect()
    }

    /// Decodes the entries of a message. Returns `None` if the message is empty or its length is
    /// not a multiple of the entry size.
    pub(crate) fn decode(bytes: &[u8]) -> Option<Vec<GossipEntry>> {
        if bytes.is_empty() || !bytes.len().is_multiple_of(ENTRY_BYTES) {
            return None;
        }
        let entry = |entry: &[u8]| GossipEntry {
            server: ShortName([entry[0], entry[1]]),
            status: match entry[2] {
                FAILING_STATUS => GossipStatus::Failing,
                steps => GossipStatus::Work {
                    steps: f64::from(steps),
                },
            },
        };
        Some(bytes.chunks(ENTRY_BYTES).map(entry).collect())
    }
}
