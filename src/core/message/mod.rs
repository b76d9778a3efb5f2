//! The messages between the system's own processes.

mod announcement;
mod peer_call;
mod session_frame;

pub(crate) use {
    announcement::{Announcement, AnnouncementReply, PeerEntry},
    peer_call::{Candidate, PeerReply, PeerRequest, Submission},
    session_frame::{FreeSlots, HomeFrame, RunnerFrame, StartFrame, StatusReport, TaskStatus},
};
