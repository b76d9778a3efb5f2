//! Whether a home takes a job in, by the wait that it has learnt to expect.

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
