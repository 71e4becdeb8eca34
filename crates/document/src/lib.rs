//! The configuration document that operators write: organisations, models, versions, cascades,
//! pools and services.
//!
//! YAML or JSON text is parsed and validated into a [`Document`]. If it is invalid, every
//! [`Finding`](finding::Finding) is reported at once, each with its position and a hint.
//! A valid document can be split into [`parts`], so that hosts exchange only what changed.

pub mod check;
pub mod document;
pub mod fields;
pub mod finding;
pub mod name;
pub mod node;
pub mod parts;
pub mod settings;
pub mod validation;

pub use document::Document;
pub use finding::Findings;
