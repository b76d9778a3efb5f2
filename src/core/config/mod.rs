//! The configuration document and its sections.

mod document;
mod head;

pub(crate) use {
    document::{Document, Quota, SECTIONS, Service, Worker, Zone, ZoneState},
    head::{Head, SectionHead},
};
