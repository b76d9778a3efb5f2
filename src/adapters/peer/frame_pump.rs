//! Transfers frames between a session's channels and its h2 stream.

use {
    super::{
        codec::encode_into,
        frame_stream::{FrameReader, StreamError, send_all},
    },
    bytes::{Bytes, BytesMut},
    h2::{RecvStream, SendStream},
    serde::{Serialize, de::DeserializeOwned},
    tokio::sync::mpsc,
};

/// The connection's ends of a session's channels.
#[derive(Debug)]
pub(crate) struct SessionChannels<In, Out> {
    /// Frames to send. The session ends when all senders are dropped.
    pub(crate) outgoing: mpsc::UnboundedReceiver<Out>,
    /// Received frames. The session ends when the receiver is dropped.
    pub(crate) received: mpsc::Sender<In>,
}

/// Transfers frames in both directions until either side ends or the stream fails.
pub(crate) async fn run_session<In, Out>(
    stream: RecvStream,
    mut body: SendStream<Bytes>,
    channels: SessionChannels<In, Out>,
) -> Result<(), StreamError>
where
    In: DeserializeOwned,
    Out: Serialize,
{
    let SessionChannels {
        mut outgoing,
        received,
    } = channels;
    tokio::select! {
        () = receive_frames(stream, received) => Ok(()),
        result = send_frames(&mut body, &mut outgoing) => result,
    }
}

async fn receive_frames<In: DeserializeOwned>(stream: RecvStream, received: mpsc::Sender<In>) {
    let mut reader = FrameReader::new(stream);
    while let Ok(frame) = reader.next().await {
        if received.send(frame).await.is_err() {
            return;
        }
    }
}

/// Sends frames until all senders are dropped; queued frames are sent in one batch.
async fn send_frames<Out: Serialize>(
    body: &mut SendStream<Bytes>,
    outgoing: &mut mpsc::UnboundedReceiver<Out>,
) -> Result<(), StreamError> {
    while let Some(frame) = outgoing.recv().await {
        let mut buffer = BytesMut::new();
        let mut next = Some(frame);
        while let Some(frame) = next {
            encode_into(&mut buffer, &frame)?;
            next = outgoing.try_recv().ok();
        }
        send_all(body, buffer.freeze(), false).await?;
    }
    Ok(())
}
