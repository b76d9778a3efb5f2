//! Tests of the levels in the agent's heartbeats.

use {
    super::*,
    crate::core::link::{QueueDemand, QueueLevel},
};

fn demand(queue: &str, priority: u32, demand_ppm: u32) -> QueueDemand {
    QueueDemand {
        queue: Arc::from(queue),
        priority,
        demand_ppm,
    }
}

impl TestExecutor {
    /// Sends a heartbeat with these demands from a session; returns the levels in the reply.
    fn exchange(
        &mut self,
        session: SessionId,
        queue_demands: Vec<QueueDemand>,
    ) -> Option<Vec<(String, u16)>> {
        self.now = self.now.plus_ms(100);
        let frame = EntryFrame::Beat {
            demand_milli: 0,
            echo_us: self.now.as_micros(),
            news_version: 0,
            zones_age_ms: Some(0),
            rows_version: 0,
            document_revision: 0,
            is_holder: false,
            queue_demands,
        };
        self.send_event(ExecutionEvent::Frame { session, frame });
        self.actions.iter().find_map(|action| match action {
            ExecutionAction::Send {
                session: to,
                frame: AgentFrame::Beat { queue_levels, .. },
            } if *to == session => {
                let name_and_level =
                    |level: &QueueLevel| (level.queue.to_string(), level.level_permille);
                Some(queue_levels.iter().map(name_and_level).collect())
            }
            _ => None,
        })
    }
}

/// Entries refused different parts of a queue's jobs, since each counted its own demand only.
#[test]
fn levels_are_computed_from_the_demands_of_all_entries() {
    let mut test = TestExecutor::ready();
    let other = SessionId(2);
    test.open_session_of("other", other);
    test.exchange(SESSION, vec![demand("a", 0, 600_000)]);
    let levels = test.exchange(
        other,
        vec![demand("a", 0, 600_000), demand("b", 1, 100_000)],
    );
    assert_eq!(
        levels,
        Some(vec![("a".to_owned(), 666), ("b".to_owned(), 1_000)])
    );
}

/// The demand of an entry that is gone must not reduce the levels of the others.
#[test]
fn a_lost_session_takes_its_demands_along() {
    let mut test = TestExecutor::ready();
    let other = SessionId(2);
    test.open_session_of("other", other);
    test.exchange(SESSION, vec![demand("a", 0, 900_000)]);
    test.send_event(ExecutionEvent::SessionLost { session: SESSION });
    let levels = test.exchange(other, vec![demand("a", 0, 900_000)]);
    assert_eq!(levels, Some(vec![("a".to_owned(), 1_000)]));
}

/// Capacity reports make most heartbeats of an agent unnecessary; a flood was noticed only after a
/// liveness timeout.
#[test]
fn a_changed_level_is_sent_with_the_next_heartbeat() {
    let mut test = TestExecutor::ready();
    test.exchange(SESSION, vec![demand("a", 0, 100_000)]);
    // Another frame has carried the agent's timestamp.
    test.executor.sessions.get_mut(&SESSION).unwrap().stamped_at = Some(test.now.plus_ms(100));
    assert_eq!(test.exchange(SESSION, vec![demand("a", 0, 200_000)]), None);
    test.executor.sessions.get_mut(&SESSION).unwrap().stamped_at = Some(test.now.plus_ms(100));
    let levels = test.exchange(SESSION, vec![demand("a", 0, 1_800_000)]);
    assert_eq!(levels, Some(vec![("a".to_owned(), 900)]));
}
