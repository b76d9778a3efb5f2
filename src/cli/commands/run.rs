//! Dispatch of the commands of `rattanslip`.

use {
    super::{
        check,
        config::{self, DocumentChange},
        explain, hash_token, jobs, workers,
    },
    crate::cli::{
        RunError,
        args::{DocumentArgs, OperatorArgs, OperatorCommand, ZoneCommand},
        operator_client::OperatorClient,
    },
};

/// Runs the command given in the arguments.
pub(crate) async fn run(args: OperatorArgs) -> Result<(), RunError> {
    if let OperatorCommand::Check { file, kind } = &args.command {
        return check::check(file, *kind, args.json);
    }
    if let OperatorCommand::Explain { id, logs } = &args.command {
        return explain::explain(id, logs);
    }
    if matches!(args.command, OperatorCommand::HashToken) {
        return hash_token::hash_token();
    }
    let as_json = args.json;
    let client = OperatorClient::new(args.entry, args.token.as_deref())?.printing_errors(as_json);
    match args.command {
        OperatorCommand::Check { .. }
        | OperatorCommand::Explain { .. }
        | OperatorCommand::HashToken => Ok(()),
        OperatorCommand::Diff(args) => config::diff(&client, &args.change(), as_json).await,
        OperatorCommand::Apply(args) => config::apply(&client, &args.change(), as_json).await,
        OperatorCommand::Show { version } => config::show(&client, version, as_json).await,
        OperatorCommand::History { last } => config::history(&client, last, as_json).await,
        OperatorCommand::Zone { command } => match command {
            ZoneCommand::Out { zone, last } => {
                config::set_zone(&client, &zone, "out", last, as_json).await
            }
            ZoneCommand::In { zone } => {
                config::set_zone(&client, &zone, "in", false, as_json).await
            }
        },
        OperatorCommand::Workers => workers::list(&client, as_json).await,
        OperatorCommand::Submit { file, ticket, key } => {
            jobs::submit(&client, &file, ticket, key, as_json).await
        }
        OperatorCommand::Status { ticket } => jobs::status(&client, &ticket, as_json).await,
        OperatorCommand::Cancel { ticket } => jobs::cancel(&client, &ticket, as_json).await,
    }
}

impl DocumentArgs {
    fn change(&self) -> DocumentChange<'_> {
        DocumentChange {
            file: &self.file,
            based_on: self.based_on,
            close_last_zone: self.close_last_zone,
        }
    }
}
