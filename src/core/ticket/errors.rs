//! Errors of parsing a ticket.

use quick_error::quick_error;

quick_error! {
    /// Why a text is not a valid ticket.
    #[derive(Debug, PartialEq, Eq)]
    pub enum TicketError {
        /// The text does not begin with the prefix of this version.
        Prefix {
            display("a ticket begins with \"rt1.\"")
        }
        /// The text after the prefix is not a base64url-encoded ticket.
        Encoding {
            display("the ticket's text is damaged")
        }
    }
}
