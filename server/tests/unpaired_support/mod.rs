//! Answers that do not belong to the request that waits for them.

pub mod scene;
pub mod scripts;
