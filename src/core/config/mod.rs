//! The configuration document of a standalone deployment and its sections.

mod change;
mod difference;
mod document;
mod head;

#[cfg(test)]
mod tests;

pub(crate) use {
    change::{BasedOn, ChangeInput, ChangeRejection, SectionConflict, SectionState, Sections},
    difference::Difference,
    document::{Document, Quota, SECTIONS, Service, Worker, Zone, ZoneState},
    head::{Head, SectionHead},
};
