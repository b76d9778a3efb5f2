//! Tests of the zone gate: the rule itself, and a model of entries, platform and faults.

mod interleavings;
mod messages;
mod simulation;
mod steps;
mod zone_gate;
