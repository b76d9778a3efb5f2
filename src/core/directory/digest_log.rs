//! What this entry has told the others about the agents that it hears.

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
    /// Agents heard up to here have been told.
    confirmed_through: Option<Instant>,
    /// The newest statement of each agent that it has.
    content_versions: BTreeMap<AgentId, u64>,
}

/// The part of a digest that is about agents.
#[derive(Debug, Default)]
pub(crate) struct AgentDigest {
    pub(crate) reports: Vec<AgentReport>,
    pub(crate) heartbeats: Vec<AgentHeartbeat>,
    /// The statements that the receiver has once it confirms.
    content_versions: Vec<(AgentId, u64)>,
    /// Up to when agents were looked at.
    as_of: Instant,
}

/// Says each agent's whole announcement once to each entry, and after that only that it was heard.
///
/// With whole announcements every second, 1,500 agents would cost each entry about nine times
/// the 21 KB/s that it may spend; `docs/design/membership.md` has the sums.
#[derive(Debug, Default)]
pub(crate) struct DigestLog {
    next_index: u32,
    indices: BTreeMap<AgentId, u32>,
    peers: BTreeMap<AgentId, PeerDigestState>,
}

impl DigestLog {
    /// What to tell an entry now.
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

    /// The entry has what it was told, but for agents whose numbers it doesn't know.
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

    /// Drops what is about agents that are no longer listed and entries that are gone.
    pub(crate) fn expire(&mut self, directory: &Directory, is_member: impl Fn(AgentId) -> bool) {
        let is_known = |agent: &AgentId| directory.contains(*agent);
        self.indices.retain(|agent, _| is_known(agent));
        self.peers.retain(|peer, _| is_member(*peer));
        for state in self.peers.values_mut() {
            state.content_versions.retain(|agent, _| is_known(agent));
        }
    }
}
