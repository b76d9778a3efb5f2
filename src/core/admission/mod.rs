//! Admission control of a home: rejects jobs that are expected to miss their deadlines.

mod admission;
mod drain_rate;
mod fits;

#[cfg(test)]
mod tests;

pub(crate) use {
    admission::{Admission, AdmissionRequest, Overload},
    drain_rate::DrainRate,
    fits::fits_somewhere,
};
