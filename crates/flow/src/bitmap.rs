use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// A set of buckets of one service.
///
/// On the wire it is a list of gaps between members, each a variable-length integer of 7 bits per
/// byte with a continuation bit: 273 flagged buckets of 4,096 take about 280 bytes, against 512 for
/// the plain bits.
///
/// ```
/// let mut flags = acacia_flow::bitmap::Bitmap::new(64);
/// flags.insert(9);
/// assert!(flags.contains(9) && !flags.contains(8));
/// assert_eq!(flags.iter().collect::<Vec<_>>(), [9]);
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Bitmap {
    words: Vec<u64>,
}

/// Maximum number of buckets that a decoded set may span; bounds what a corrupt message can
/// allocate.
const MAX_BUCKETS: usize = 1 << 16;

impl Bitmap {
    /// Creates an empty set over `buckets` buckets.
    #[must_use]
    pub fn new(buckets: usize) -> Self {
        Bitmap {
            words: vec![0; buckets.div_ceil(64)],
        }
    }

    /// Creates the set of all `buckets` buckets.
    #[must_use]
    pub fn full(buckets: usize) -> Self {
        let mut all = Bitmap::new(buckets);
        (0..buckets).for_each(|bucket| all.insert(bucket));
        all
    }

    /// Whether `bucket` is in the set.
    #[must_use]
    pub fn contains(&self, bucket: usize) -> bool {
        self.words
            .get(bucket / 64)
            .is_some_and(|word| word >> (bucket % 64) & 1 == 1)
    }

    /// Adds `bucket`, growing the set if needed.
    pub fn insert(&mut self, bucket: usize) {
        if self.words.len() <= bucket / 64 {
            self.words.resize(bucket / 64 + 1, 0);
        }
        self.words[bucket / 64] |= 1 << (bucket % 64);
    }

    /// Adds all members of `other`.
    pub fn union(&mut self, other: &Bitmap) {
        if self.words.len() < other.words.len() {
            self.words.resize(other.words.len(), 0);
        }
        for (word, other_word) in self.words.iter_mut().zip(&other.words) {
            *word |= other_word;
        }
    }

    /// Members in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = usize> + '_ {
        self.words.iter().enumerate().flat_map(|(at, &word)| {
            let mut rest = word;
            std::iter::from_fn(move || {
                (rest != 0).then(|| {
                    let bit = rest.trailing_zeros() as usize;
                    rest &= rest - 1;
                    at * 64 + bit
                })
            })
        })
    }

    /// Number of buckets in the set.
    #[must_use]
    pub fn len(&self) -> usize {
        self.words
            .iter()
            .map(|word| word.count_ones() as usize)
            .sum()
    }

    /// Whether no bucket is in the set.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.words.iter().all(|&word| word == 0)
    }

    fn encode_gaps(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        let mut last = 0;
        for member in self.iter() {
            let mut gap = member - last;
            last = member;
            while gap >= 0x80 {
                bytes.push((gap & 0x7f) as u8 | 0x80);
                gap >>= 7;
            }
            bytes.push(gap as u8);
        }
        bytes
    }

    fn decode_gaps(bytes: &[u8]) -> Option<Self> {
        let mut set = Bitmap::default();
        let (mut at, mut gap, mut shift) = (0usize, 0usize, 0u32);
        for byte in bytes {
            gap |= usize::from(byte & 0x7f) << shift;
            shift += 7;
            if shift > 21 {
                return None;
            }
            if byte & 0x80 == 0 {
                at += gap;
                if at >= MAX_BUCKETS {
                    return None;
                }
                set.insert(at);
                (gap, shift) = (0, 0);
            }
        }
        Some(set)
    }
}

impl Serialize for Bitmap {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        self.encode_gaps().serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for Bitmap {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let bytes = Vec::<u8>::deserialize(deserializer)?;
        Bitmap::decode_gaps(&bytes).ok_or_else(|| {
            serde::de::Error::custom("bucket set has an overlong gap or a bucket out of range")
        })
    }
}
