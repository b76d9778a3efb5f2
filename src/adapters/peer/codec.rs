//! Encoding of messages as length-prefixed bincode.

use {
    bytes::{Buf, BufMut, Bytes, BytesMut},
    quick_error::quick_error,
    serde::{Serialize, de::DeserializeOwned},
};

/// Maximum size of an accepted message.
pub(crate) const MAX_MESSAGE_BYTES: usize = 32 << 20;

quick_error! {
    /// Why a message could not be encoded or decoded.
    #[derive(Debug)]
    pub enum CodecError {
        /// Encoding failed.
        Encode(error: bincode::error::EncodeError) {
            from()
            display("failed to encode message: {}", error)
        }
        /// The bytes are not a message of the expected type.
        Decode(error: bincode::error::DecodeError) {
            from()
            display("failed to decode message: {}", error)
        }
        /// The message exceeds the limit or the range of its length prefix.
        TooLarge(bytes: usize) {
            display("message of {} bytes exceeds the limit", bytes)
        }
    }
}

/// Appends a message with its length prefix.
pub(crate) fn encode_into<M: Serialize>(
    buffer: &mut BytesMut,
    message: &M,
) -> Result<(), CodecError> {
    let length_at = buffer.len();
    buffer.put_u32(0);
    let mut writer = buffer.writer();
    bincode::serde::encode_into_std_write(message, &mut writer, bincode::config::standard())?;
    let bytes = buffer.len() - length_at - size_of::<u32>();
    let prefix = u32::try_from(bytes).map_err(|_| CodecError::TooLarge(bytes))?;
    buffer[length_at..length_at + size_of::<u32>()].copy_from_slice(&prefix.to_be_bytes());
    Ok(())
}

/// Encodes a message with its length prefix.
pub(crate) fn encode<M: Serialize>(message: &M) -> Result<Bytes, CodecError> {
    let mut buffer = BytesMut::new();
    encode_into(&mut buffer, message)?;
    Ok(buffer.freeze())
}

/// Removes the first message from the buffer; `None` if it is incomplete.
pub(crate) fn decode_from<M: DeserializeOwned>(
    buffer: &mut BytesMut,
) -> Result<Option<M>, CodecError> {
    let Some(prefix) = buffer.first_chunk::<4>() else {
        return Ok(None);
    };
    let bytes = u32::from_be_bytes(*prefix) as usize;
    if bytes > MAX_MESSAGE_BYTES {
        return Err(CodecError::TooLarge(bytes));
    }
    if buffer.len() < prefix.len() + bytes {
        return Ok(None);
    }
    buffer.advance(size_of::<u32>());
    let body = buffer.split_to(bytes);
    let (message, _) = bincode::serde::decode_from_slice(&body, bincode::config::standard())?;
    Ok(Some(message))
}
