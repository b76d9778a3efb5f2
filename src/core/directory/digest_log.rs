//! Tracks which agent state the other entries have confirmed, to send them only changes.

use {
    super::Directory,
    crate::core::{
        message::{AgentHeartbeat, AgentReport, Announcement},
        ticket::AgentId,
        time::Instant,
    },
    std::collections::BTreeMap,
};

/// What one other entry has confirmed.
#[derive(Debug, Default)]
struct PeerDigestState {
    /// Announcements received up to this time are confirmed.
    confirmed_through: Option<Instant>,
    /// The confirmed content version of each agent.
    content_versions: BTreeMap<AgentId, u64>,
}

/// The agents' part of a digest.
#[derive(Debug, Default)]
pub(crate) struct AgentDigest {
    pub(crate) reports: Vec<AgentReport>,
    pub(crate) heartbeats: Vec<AgentHeartbeat>,
    /// The content versions of `reports`.
    content_versions: Vec<(AgentId, u64)>,
    /// When the digest was built.
    as_of: Instant,
}

/// Builds digests that report an agent in full once, and by a heartbeat while its content is
/// unchanged.
///
/// Full reports every second would exceed an entry's bandwidth limit by far;
/// `docs/design/membership.md` has the calculation.
#[derive(Debug, Default)]
pub(crate) struct DigestLog {
    next_index: u32,
    indices: BTreeMap<AgentId, u32>,
    peers: BTreeMap<AgentId, PeerDigestState>,
}

impl DigestLog {
    /// Builds the digest of agents that announced themselves since the last confirmed digest.
    pub(crate) fn build_digest(
        &mut self,
        now: Instant,
        peer: AgentId,
        directory: &Directory,
    ) -> AgentDigest {
        let state = self.peers.entry(peer).or_default();
        let mut digest = AgentDigest {
            as_of: now,
            ..AgentDigest::default()
        };
        for view in directory.announced_here(now, state.confirmed_through) {
            let agent = view.announcement.agent;
            let index = *self.indices.entry(agent).or_insert_with(|| {
                self.next_index = self.next_index.wrapping_add(1);
                self.next_index
            });
            if state.content_versions.get(&agent) == Some(&view.content_version) {
                digest.heartbeats.push(AgentHeartbeat {
                    index,
                    free_slots: view.announcement.free_slots,
                    fingerprint: view.fingerprint,
                });
                continue;
            }
            digest.content_versions.push((agent, view.content_version));
            digest.reports.push(AgentReport {
                index,
                announcement: Announcement {
                    grant: None,
                    ..view.announcement.clone()
                },
            });
        }
        digest
    }

    /// Records that an entry received a digest, except for the agents with `unknown` indices.
    pub(crate) fn confirm(&mut self, peer: AgentId, digest: &AgentDigest, unknown: &[u32]) {
        let state = self.peers.entry(peer).or_default();
        state.confirmed_through = state.confirmed_through.max(Some(digest.as_of));
        state
            .content_versions
            .extend(digest.content_versions.iter().copied());
        if unknown.is_empty() {
            return;
        }
        let indices = &self.indices;
        state.content_versions.retain(|agent, _| {
            indices
                .get(agent)
                .is_some_and(|index| !unknown.contains(index))
        });
    }

    /// Removes the state of agents that the directory dropped and of entries that are no members.
    pub(crate) fn expire(&mut self, directory: &Directory, is_member: impl Fn(AgentId) -> bool) {
        let is_known = |agent: &AgentId| directory.contains(*agent);
        self.indices.retain(|agent, _| is_known(agent));
        self.peers.retain(|peer, _| is_member(*peer));
        for state in self.peers.values_mut() {
            state.content_versions.retain(|agent, _| is_known(agent));
        }
    }
}
