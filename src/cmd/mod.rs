//! One file a subcommand.

pub mod trial;
