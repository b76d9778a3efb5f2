//! Calls and sessions between entries and agents: h2 streams with bincode messages.

mod activity;
mod awaited_tasks;
mod codec;
mod counted_socket;
mod frame_pump;
mod frame_stream;
mod h2_client;
mod h2_server;
mod liveness;

#[cfg(test)]
mod tests;

pub(crate) use {
    counted_socket::with_byte_counter,
    frame_pump::{SessionChannels, run_session},
    h2_client::H2Client,
    h2_server::{PeerHandler, RunnerSession, serve_peers},
};
