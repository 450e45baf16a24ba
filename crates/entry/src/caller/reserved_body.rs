//! A response body that counts as buffered until it is written.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use cassiawheel_decide::byte_budget::ByteReservation;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};

/// A whole body and the memory that is reserved for it.
pub(super) struct ReservedBody {
    body: Full<Bytes>,
    _reservation: ByteReservation,
}

impl ReservedBody {
    /// Combines a body with its reservation.
    pub(super) fn new(body: Bytes, reservation: ByteReservation) -> Self {
        Self { body: Full::new(body), _reservation: reservation }
    }
}

impl Body for ReservedBody {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(context);
        polled.map(|frame| frame.map(|frame| frame.map_err(|never| match never {})))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
