//! TCP socket with an observer of its reads and writes.

use {
    std::{
        fmt::Debug,
        io::{self, IoSlice},
        pin::Pin,
        task::{Context, Poll, ready},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
    },
};

/// Observes the reads and writes of a socket; can reject writes.
pub(crate) trait SocketObserver: Debug + Send + Sync + Unpin {
    /// Called after each read.
    fn on_read(&self, _bytes: usize) {}

    /// Called before each write; an error fails the write before any byte is sent.
    fn before_write(&self) -> io::Result<()> {
        Ok(())
    }

    /// Called after each system call that wrote bytes.
    fn on_written(&self, _bytes: usize) {}
}

/// Forwards reads and writes and notifies its observer.
#[derive(Debug)]
pub(crate) struct ObservedSocket<O> {
    socket: TcpStream,
    observer: O,
}

impl<O: SocketObserver> ObservedSocket<O> {
    pub(crate) const fn new(socket: TcpStream, observer: O) -> Self {
        Self { socket, observer }
    }

    pub(crate) const fn observer(&self) -> &O {
        &self.observer
    }

    fn observe_write(&self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(bytes)) = result {
            self.observer.on_written(bytes);
        }
        result
    }
}

impl<O: SocketObserver> AsyncRead for ObservedSocket<O> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.socket).poll_read(context, buffer))?;
        let bytes = buffer.filled().len() - before;
        if bytes > 0 {
            self.observer.on_read(bytes);
        }
        Poll::Ready(Ok(()))
    }
}

impl<O: SocketObserver> AsyncWrite for ObservedSocket<O> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.observer.before_write()?;
        let result = Pin::new(&mut self.socket).poll_write(context, bytes);
        self.observe_write(result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.observer.before_write()?;
        let result = Pin::new(&mut self.socket).poll_write_vectored(context, slices);
        self.observe_write(result)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(context)
    }
}
