//! The operators' configuration as typed values, and its INI form.
