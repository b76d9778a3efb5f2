//! Tests of the translation.
