//! Tests of the executor.
