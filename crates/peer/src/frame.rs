use acacia_wire::control::MAX_FRAME;
use tokio_util::codec::LengthDelimitedCodec;

/// Bytes before each frame that tell its length, big-endian.
pub(crate) const LENGTH: usize = 8;
/// Longest frame that a sender may announce. Somewhat more than a legal one, so that a frame that is
/// just too long is counted as such; whoever announces more loses the connection.
const MAX_ANNOUNCED: usize = MAX_FRAME + 4096;

/// Longest first frame on a connection, several times the one that a peer opens it with. Without a
/// valid frame it may be a stranger's, and hundreds of them could announce a megabyte each.
const MAX_FIRST: usize = 512;

/// How frames follow each other on a connection to a peer.
pub(crate) fn codec() -> LengthDelimitedCodec {
    limited(MAX_ANNOUNCED)
}

/// The same on one that was accepted and has carried no valid frame yet.
pub(crate) fn pending_codec() -> LengthDelimitedCodec {
    limited(MAX_FIRST)
}

/// Allows frames of any legal length, after a valid one.
pub(crate) fn allow_long(codec: &mut LengthDelimitedCodec) {
    codec.set_max_frame_length(MAX_ANNOUNCED);
}

fn limited(longest: usize) -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .length_field_length(LENGTH)
        .max_frame_length(longest)
        .new_codec()
}
