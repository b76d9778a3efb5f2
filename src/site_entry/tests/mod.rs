//! Tests of an entry's parts against fakes.

mod fakes;
mod news;
