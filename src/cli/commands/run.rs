//! Picks the command.

use {
    super::{check, config, hash_token, jobs, workers},
    crate::cli::{
        RunError,
        args::{OperatorArgs, OperatorCommand, ZoneCommand},
        operator_client::OperatorClient,
    },
};

/// Runs one command.
pub(crate) async fn run(args: OperatorArgs) -> Result<(), RunError> {
    if let OperatorCommand::Check { file, kind } = &args.command {
        return check::check(file, *kind, args.json);
    }
    if matches!(args.command, OperatorCommand::HashToken) {
        return hash_token::hash_token();
    }
    let client = OperatorClient::new(args.entry, args.token.as_deref())?;
    match args.command {
        OperatorCommand::Check { .. } | OperatorCommand::HashToken => Ok(()),
        OperatorCommand::Apply { file, based_on } => {
            config::apply(&client, &file, based_on, args.json).await
        }
        OperatorCommand::Show => config::show(&client, args.json).await,
        OperatorCommand::History => config::history(&client, args.json).await,
        OperatorCommand::Zone { command } => match command {
            ZoneCommand::Out { zone } => config::set_zone(&client, &zone, "out", args.json).await,
            ZoneCommand::In { zone } => config::set_zone(&client, &zone, "in", args.json).await,
        },
        OperatorCommand::Workers => workers::list(&client, args.json).await,
        OperatorCommand::Submit { file, ticket, key } => {
            jobs::submit(&client, &file, ticket, key, args.json).await
        }
        OperatorCommand::Status { ticket } => jobs::status(&client, &ticket, args.json).await,
        OperatorCommand::Cancel { ticket } => jobs::cancel(&client, &ticket, args.json).await,
    }
}
