//! Simulated sessions, on which frames are delayed, dropped or reordered.

use {
    super::simulation::Simulation,
    crate::core::{
        home::HomeEvent,
        message::{HomeFrame, RunnerFrame},
        runner::{RunnerEvent, SessionId},
        ticket::AgentId,
    },
    std::{collections::VecDeque, net::SocketAddr},
};

/// A session with its frames in flight.
#[derive(Debug)]
pub(super) struct Session {
    runner: AgentId,
    epoch: u64,
    node: usize,
    /// The process at the address when the session was opened.
    incarnation: u64,
    pub(super) id: SessionId,
    to_runner: VecDeque<HomeFrame>,
    pub(super) to_home: VecDeque<RunnerFrame>,
    pub(super) home_disconnected: bool,
    pub(super) runner_closed: bool,
}

impl Simulation {
    pub(super) fn open(&mut self, runner: AgentId, peer_addr: SocketAddr, epoch: u64) {
        let node = usize::from(peer_addr.port()) - 1_000;
        self.next_id += 1;
        let hello = HomeFrame::Hello {
            home: self.home.id(),
            epoch,
        };
        self.sessions.push(Session {
            runner,
            epoch,
            node,
            incarnation: self.nodes[node].id.0,
            id: SessionId(self.next_id),
            to_runner: VecDeque::from([hello]),
            to_home: VecDeque::new(),
            home_disconnected: false,
            runner_closed: false,
        });
    }

    pub(super) fn send(&mut self, runner: AgentId, epoch: u64, frame: HomeFrame) {
        let session = self
            .sessions
            .iter_mut()
            .find(|s| s.runner == runner && s.epoch == epoch && !s.home_disconnected);
        if let Some(session) = session {
            session.to_runner.push_back(frame);
        }
    }

    /// Delivers the next frame of a session to its runner, even after the home disconnected.
    pub(super) fn deliver_to_runner(&mut self, number: usize) {
        let Some(session) = self.sessions.get_mut(number) else {
            return;
        };
        let is_replaced = self.nodes[session.node].id.0 != session.incarnation;
        if session.runner_closed || is_replaced {
            session.to_runner.clear();
            return;
        }
        let Some(frame) = session.to_runner.pop_front() else {
            return;
        };
        let (node, session) = (session.node, session.id);
        self.send_runner_event(node, RunnerEvent::Frame { session, frame });
    }

    /// Delivers the next frame of a session to the home, even after a newer session was opened.
    pub(super) fn deliver_to_home(&mut self, number: usize) {
        let Some(session) = self.sessions.get_mut(number) else {
            return;
        };
        let Some(frame) = session.to_home.pop_front() else {
            if session.runner_closed && !session.home_disconnected {
                self.break_session(number);
            }
            return;
        };
        let (runner, epoch) = (session.runner, session.epoch);
        self.send_event(HomeEvent::Frame {
            runner,
            epoch,
            frame,
        });
    }

    /// Disconnects the home; frames in flight may still arrive.
    pub(super) fn break_session(&mut self, number: usize) {
        let Some(session) = self.sessions.get_mut(number) else {
            return;
        };
        if std::mem::replace(&mut session.home_disconnected, true) {
            return;
        }
        let (runner, epoch) = (session.runner, session.epoch);
        self.send_event(HomeEvent::SessionLost { runner, epoch });
    }

    /// Disconnects the runner and drops the frames in flight to the home.
    pub(super) fn close_at_runner(&mut self, number: usize) {
        let Some(session) = self.sessions.get_mut(number) else {
            return;
        };
        if std::mem::replace(&mut session.runner_closed, true) {
            return;
        }
        session.to_home.clear();
        let (node, session) = (session.node, session.id);
        self.send_runner_event(node, RunnerEvent::SessionClosed { session });
    }

    pub(super) const fn session_count(&self) -> usize {
        self.sessions.len()
    }

    pub(super) fn deliver_live(&mut self) {
        for number in 0..self.sessions.len() {
            if !self.sessions[number].home_disconnected {
                self.deliver_session(number);
            }
        }
    }

    /// Delivers all frames in flight, oldest session first.
    pub(super) fn deliver_all(&mut self) {
        let mut number = 0;
        while number < self.sessions.len() {
            self.deliver_session(number);
            number += 1;
        }
    }

    fn deliver_session(&mut self, number: usize) {
        while self.sessions[number].has_frames() {
            self.deliver_to_runner(number);
            self.deliver_to_home(number);
        }
        self.detect_disconnect(number);
    }

    fn detect_disconnect(&mut self, number: usize) {
        let session = &self.sessions[number];
        if session.runner_closed || self.nodes[session.node].id.0 != session.incarnation {
            self.break_session(number);
        }
    }
}

impl Session {
    fn has_frames(&self) -> bool {
        !self.to_runner.is_empty() || !self.to_home.is_empty()
    }
}
