//! What can be wrong with a ticket's text.

use quick_error::quick_error;

quick_error! {
    /// Why a ticket's text was not taken.
    #[derive(Debug, PartialEq, Eq)]
    pub enum TicketError {
        /// The text doesn't begin with the version's prefix.
        Prefix {
            display("a ticket begins with \"rt1.\"")
        }
        /// The rest isn't base64url of a ticket.
        Encoding {
            display("the ticket's text is damaged")
        }
    }
}
