//! Tests of the zone gate: the rule itself, and a model of entries, platform and faults.

mod messages;
mod model;
mod rule;
mod steps;
mod world;
