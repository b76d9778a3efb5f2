//! Delivery of the simulation's messages, one stage at a time.

use {
    super::simulation::{Message, Simulation, WRITE_LIFETIME_MS},
    crate::core::gate::ChangeOutcome,
};

impl Simulation {
    pub(super) fn progress_poll(&mut self, message: &mut Message) -> bool {
        let Message::Poll {
            entry,
            requested_at,
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
        if !self.is_running(entry) {
            return false;
        }
        let Some((others, head_requested_at)) = scan else {
            let id = self.entries[entry].id;
            if !self.rows.contains_key(&id) {
                self.entries[entry].gate.clear_roster();
                return true;
            }
            let others = self.rows.keys().copied().filter(|row| *row != id).collect();
            // The head row is requested once the scan has arrived.
            *scan = Some((others, self.clock(entry)));
            return false;
        };
        let Some(version) = *head else { return true };
        let gate = &mut self.entries[entry].gate;
        gate.record_head_read(*head_requested_at, version);
        gate.record_roster_read(*requested_at, others);
        true
    }

    pub(super) fn progress_query(&mut self, message: &mut Message) -> bool {
        let Message::Query {
            from,
            to,
            requested_at,
            status,
        } = message
        else {
            return true;
        };
        let (from, to) = (*from, *to);
        if let Some(status) = status.take() {
            if self.is_running(from) {
                let peer = self.entries[to].id;
                self.entries[from]
                    .gate
                    .record_status(*requested_at, peer, status);
            }
            return true;
        }
        if !self.entries[to].alive {
            return true;
        }
        if self.is_running(to) {
            let (now, peer) = (self.clock(to), self.entries[from].id);
            self.entries[to].gate.add_member(now, peer);
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
            outcome,
            abandoned,
        } = message
        else {
            return true;
        };
        let entry = *entry;
        let Some(outcome) = *outcome else {
            if self.now_ms - *sent_ms >= WRITE_LIFETIME_MS {
                return true;
            }
            if self.platform_down {
                *outcome = Some(ChangeOutcome::NotApplied);
                return *abandoned;
            }
            let applies =
                *version == self.head() + 1 && self.rows.contains_key(&self.entries[entry].id);
            if applies {
                self.versions.insert(*version, *open);
                self.closed_at_ms = (!*open).then(|| self.closed_at_ms.unwrap_or(self.now_ms));
            }
            *outcome = Some(if applies {
                ChangeOutcome::MaybeApplied
            } else {
                ChangeOutcome::NotApplied
            });
            return *abandoned;
        };
        if self.is_running(entry) {
            let now = self.clock(entry);
            self.entries[entry].gate.finish_change(now, *id, outcome);
        }
        true
    }
}
