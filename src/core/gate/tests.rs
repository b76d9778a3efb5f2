//! Tests of the zone gate, alone and in a simulation of entries, the platform and faults.

mod interleavings;
mod messages;
mod simulation;
mod steps;
mod zone_gate;
