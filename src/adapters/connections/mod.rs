//! Connections of a server, limited in number and in what they hold.

mod server_connections;

pub(crate) use server_connections::{ServerConnections, TrackedConnection};
