//! `rattanslip hash-token`.

use {crate::cli::RunError, std::io};

/// Prints the digest of a token read from standard input; settings contain only the digest.
pub(crate) fn hash_token() -> Result<(), RunError> {
    let mut line = String::new();
    io::stdin()
        .read_line(&mut line)
        .map_err(|error| RunError::Usage(error.to_string()))?;
    let token = line.trim();
    if token.is_empty() {
        return Err(RunError::Usage("the token is empty".to_owned()));
    }
    println!("{}", blake3::hash(token.as_bytes()).to_hex());
    Ok(())
}
