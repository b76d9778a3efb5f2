//! What each message of the model does on its way.

use {
    super::world::{Message, WRITE_LIFETIME_MS, World},
    crate::core::gate::ChangeEnd,
};

impl World {
    pub(super) fn progress_poll(&mut self, message: &mut Message) -> bool {
        let Message::Poll {
            entry,
            asked_at,
            scan,
            head,
        } = message
        else {
            return true;
        };
        let entry = *entry;
        if !self.reaches_platform(entry) {
            return true;
        }
        if head.is_none() && scan.is_some() {
            *head = Some(self.head());
            return false;
        }
        if !self.runs(entry) {
            return false;
        }
        let Some((others, head_asked_at)) = scan else {
            let id = self.entries[entry].id;
            if !self.rows.contains_key(&id) {
                self.entries[entry].gate.forget_roster();
                return true;
            }
            let others = self.rows.keys().copied().filter(|row| *row != id).collect();
            // The head is asked for once the scan has arrived.
            *scan = Some((others, self.clock(entry)));
            return false;
        };
        let Some(version) = *head else { return true };
        let gate = &mut self.entries[entry].gate;
        gate.head_read(*head_asked_at, version);
        gate.roster_read(*asked_at, others);
        true
    }

    pub(super) fn progress_ask(&mut self, message: &mut Message) -> bool {
        let Message::Ask {
            from,
            to,
            asked_at,
            status,
        } = message
        else {
            return true;
        };
        let (from, to) = (*from, *to);
        if let Some(status) = status.take() {
            if self.runs(from) {
                let peer = self.entries[to].id;
                self.entries[from].gate.heard(*asked_at, peer, status);
            }
            return true;
        }
        if !self.entries[to].alive {
            return true;
        }
        if self.runs(to) {
            let (now, peer) = (self.clock(to), self.entries[from].id);
            self.entries[to].gate.meet(now, peer);
            *status = Some(self.entries[to].gate.status(now));
        }
        false
    }

    pub(super) fn progress_change(&mut self, message: &mut Message) -> bool {
        let Message::Change {
            entry,
            id,
            version,
            open,
            sent_ms,
            end,
            given_up,
        } = message
        else {
            return true;
        };
        let entry = *entry;
        let Some(end) = *end else {
            if self.now_ms - *sent_ms >= WRITE_LIFETIME_MS {
                return true;
            }
            if self.down {
                *end = Some(ChangeEnd::Refused);
                return *given_up;
            }
            let lands =
                *version == self.head() + 1 && self.rows.contains_key(&self.entries[entry].id);
            if lands {
                self.versions.insert(*version, *open);
                self.closed_at_ms = (!*open).then(|| self.closed_at_ms.unwrap_or(self.now_ms));
            }
            *end = Some(if lands {
                ChangeEnd::MayHaveLanded
            } else {
                ChangeEnd::Refused
            });
            return *given_up;
        };
        if self.runs(entry) {
            let now = self.clock(entry);
            self.entries[entry].gate.end_change(now, *id, end);
        }
        true
    }
}
