use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

/// The id of a change, drawn at random by its author. A writer that got no answer finds out by it
/// whether its change took effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct Id(u128);

impl Id {
    /// Creates an id from a number.
    ///
    /// ```
    /// use acacia_config::document::Id;
    /// let id = Id::new(0xaca);
    /// assert_eq!(id.to_string(), "00000000000000000000000000000aca");
    /// assert_eq!(id.to_string().parse(), Ok(id));
    /// ```
    #[must_use]
    pub const fn new(number: u128) -> Self {
        Id(number)
    }
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for Id {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, 16).map(Id)
    }
}

impl From<Id> for String {
    fn from(id: Id) -> Self {
        id.to_string()
    }
}

impl TryFrom<String> for Id {
    type Error = std::num::ParseIntError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}
