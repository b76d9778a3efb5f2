//! Reading and writing messages on one h2 stream.

use {
    super::codec::{CodecError, decode_from},
    bytes::{Bytes, BytesMut},
    h2::{RecvStream, SendStream},
    quick_error::quick_error,
    serde::de::DeserializeOwned,
    std::{future::poll_fn, marker::PhantomData},
};

quick_error! {
    /// Why a stream gave no further message.
    #[derive(Debug)]
    pub enum StreamError {
        /// The stream or its connection broke.
        H2(error: h2::Error) {
            from()
            display("{}", error)
        }
        /// A message can't be read or written.
        Codec(error: CodecError) {
            from()
            display("{}", error)
        }
        /// The other side has ended the stream.
        Ended {
            display("the stream has ended")
        }
    }
}

/// Messages of one type, read from one stream.
#[derive(Debug)]
pub(crate) struct FrameReader<M> {
    stream: RecvStream,
    buffer: BytesMut,
    message: PhantomData<fn() -> M>,
}

impl<M: DeserializeOwned> FrameReader<M> {
    /// Reads from this stream.
    pub(crate) fn new(stream: RecvStream) -> Self {
        Self {
            stream,
            buffer: BytesMut::new(),
            message: PhantomData,
        }
    }

    /// The next message.
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

/// Sends all the bytes, as the receiver's window allows.
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
