//! Tests of the dispatcher.
