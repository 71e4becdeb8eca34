//! The operators' document: organisations, models, versions, cascades, pools and services.
//!
//! In goes YAML or JSON text, out comes a checked [`Document`] or every
//! [`Finding`](finding::Finding) of the text at once, each with its place and a hint.
//! A checked document can be cut into [`parts`], so that hosts exchange only what changed.

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
