//! Tests of the home machine.
