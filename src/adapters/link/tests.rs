//! Tests of sessions.
