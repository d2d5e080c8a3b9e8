use std::io;

use tarpc::tokio_util::{
    bytes::{Bytes, BytesMut},
    codec::{Decoder, Encoder, LengthDelimitedCodec},
};

/// Frames with their length before them; those that come are bounded, as whoever sends them is not
/// known, and memory for a frame is taken when its length is read.
pub(super) struct Codec {
    requests: LengthDelimitedCodec,
    answers: LengthDelimitedCodec,
}

impl Codec {
    pub(super) fn new(longest_request: usize) -> Self {
        let requests = LengthDelimitedCodec::builder()
            .max_frame_length(longest_request)
            .new_codec();
        Codec {
            requests,
            answers: LengthDelimitedCodec::new(),
        }
    }
}

impl Decoder for Codec {
    type Item = BytesMut;
    type Error = io::Error;

    fn decode(&mut self, bytes: &mut BytesMut) -> io::Result<Option<BytesMut>> {
        self.requests.decode(bytes)
    }
}

impl Encoder<Bytes> for Codec {
    type Error = io::Error;

    fn encode(&mut self, answer: Bytes, bytes: &mut BytesMut) -> io::Result<()> {
        self.answers.encode(answer, bytes)
    }
}
