//! Placement: the home of a job, its candidate runners and the runner of each task.

mod home_choice;
mod home_share;
mod most_free;
mod placement;
mod random_worker;
mod runner_view;
mod shortlist;

#[cfg(test)]
mod tests;

pub(crate) use {
    home_choice::HomeChoice, home_share::active_homes, most_free::MostFree, placement::Placement,
    random_worker::RandomWorker, runner_view::RunnerView, shortlist::RunnerRing,
};
