//! Tests of the measurement, of the comparison and of the placement decision.

mod completion_weight;
mod measured_speed;
mod service_speed;
