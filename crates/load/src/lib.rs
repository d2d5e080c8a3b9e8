//! Admission, placement and weights: the decisions made under load.
