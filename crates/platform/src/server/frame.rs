use std::io;

use tarpc::tokio_util::{
    bytes::{Bytes, BytesMut},
    codec::{Decoder, Encoder, LengthDelimitedCodec},
};

/// Length-delimited frames. The length of requests is limited, as the peer is not trusted and
/// memory for a frame is allocated once its length has been read.
pub(super) struct Codec {
    requests: LengthDelimitedCodec,
    answers: LengthDelimitedCodec,
}

impl Codec {
    pub(super) fn new(max_request_len: usize) -> Self {
        let requests = LengthDelimitedCodec::builder()
            .max_frame_length(max_request_len)
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
