//! Tests of an entry's parts against fakes.

mod events;
mod fakes;
mod news;
