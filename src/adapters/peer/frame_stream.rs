//! Reads and writes messages on an h2 stream.

use {
    super::codec::{CodecError, decode_from},
    bytes::{Bytes, BytesMut},
    h2::{RecvStream, SendStream},
    quick_error::quick_error,
    serde::de::DeserializeOwned,
    std::{future::poll_fn, marker::PhantomData},
};

quick_error! {
    /// Why reading or writing a message failed.
    #[derive(Debug)]
    pub enum StreamError {
        /// The stream or its connection failed.
        H2(error: h2::Error) {
            from()
            display("{}", error)
        }
        /// A message could not be encoded or decoded.
        Codec(error: CodecError) {
            from()
            display("{}", error)
        }
        /// The other side closed the stream.
        Ended {
            display("stream closed by the peer")
        }
    }
}

/// Reads messages of one type from a stream.
#[derive(Debug)]
pub(crate) struct FrameReader<M> {
    stream: RecvStream,
    buffer: BytesMut,
    message: PhantomData<fn() -> M>,
}

impl<M: DeserializeOwned> FrameReader<M> {
    pub(crate) fn new(stream: RecvStream) -> Self {
        Self {
            stream,
            buffer: BytesMut::new(),
            message: PhantomData,
        }
    }

    /// Waits for the next message.
    pub(crate) async fn next(&mut self) -> Result<M, StreamError> {
        loop {
            if let Some(message) = decode_from(&mut self.buffer)? {
                return Ok(message);
            }
            let Some(data) = self.stream.data().await else {
                return Err(StreamError::Ended);
            };
            let data = data?;
            self.stream.flow_control().release_capacity(data.len())?;
            self.buffer.extend_from_slice(&data);
        }
    }
}

/// Sends all bytes, subject to the receiver's flow-control window.
pub(crate) async fn send_all(
    stream: &mut SendStream<Bytes>,
    mut bytes: Bytes,
    end_of_stream: bool,
) -> Result<(), StreamError> {
    loop {
        stream.reserve_capacity(bytes.len());
        let granted = match stream.capacity() {
            0 => poll_fn(|context| stream.poll_capacity(context))
                .await
                .ok_or(StreamError::Ended)??,
            granted => granted,
        };
        let chunk = bytes.split_to(granted.min(bytes.len()));
        let last = bytes.is_empty();
        stream.send_data(chunk, last && end_of_stream)?;
        if last {
            return Ok(());
        }
    }
}
