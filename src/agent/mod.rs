//! Agent of one backend server: owns jobs in its home and runs tasks in its runner.

mod agent_handle;
mod announcer;
mod hand_over;
mod home_loop;
mod home_routes;
mod home_starter;
mod peer_handler;
mod run;
mod runner_loop;

#[cfg(test)]
mod tests;

pub(crate) use {agent_handle::AgentHandle, run::run_agent};
