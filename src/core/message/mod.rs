//! Messages between the system's own processes.

mod announcement;
mod digest;
mod peer_call;
mod session_frame;

pub(crate) use {
    announcement::{Announcement, AnnouncementReply, PeerEntry, roster_digest},
    digest::{AgentHeartbeat, AgentReport, Closing, Digest, DigestReply, GateNotice, GateStatus},
    peer_call::{Candidate, PeerReply, PeerRequest, Submission},
    session_frame::{FreeSlots, HomeFrame, RunnerFrame, StartFrame, StatusReport, TaskStatus},
};
