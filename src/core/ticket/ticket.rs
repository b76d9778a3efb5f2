//! The ticket and its text form.

use {
    super::{AgentId, TicketError},
    base64::{Engine, engine::general_purpose::URL_SAFE_NO_PAD},
    serde::{Deserialize, Serialize},
    std::{fmt, str::FromStr},
};

/// Version prefix of the text form.
const PREFIX: &str = "rt1.";

/// Identifies a ticket by its home, the home's generation and a number within the generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct TicketId {
    /// The only process that may start the job.
    pub(crate) home: AgentId,
    /// Number of the home's grant that contains the ticket.
    pub(crate) generation: u32,
    /// The ticket's number within the grant.
    pub(crate) counter: u32,
}

/// A ticket identifier with a MAC that proves its home granted it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Ticket {
    pub(crate) id: TicketId,
    /// Keyed hash of the counter under the grant's key.
    pub(crate) mac: [u8; 16],
}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let bytes = bincode::serde::encode_to_vec(self, bincode::config::standard())
            .map_err(|_| fmt::Error)?;
        write!(f, "{PREFIX}{}", URL_SAFE_NO_PAD.encode(bytes))
    }
}

impl FromStr for Ticket {
    type Err = TicketError;

    fn from_str(text: &str) -> Result<Self, TicketError> {
        let body = text.strip_prefix(PREFIX).ok_or(TicketError::Prefix)?;
        let bytes = URL_SAFE_NO_PAD
            .decode(body)
            .map_err(|_| TicketError::Encoding)?;
        let (ticket, used) = bincode::serde::decode_from_slice(&bytes, bincode::config::standard())
            .map_err(|_| TicketError::Encoding)?;
        if used != bytes.len() {
            return Err(TicketError::Encoding);
        }
        Ok(ticket)
    }
}
