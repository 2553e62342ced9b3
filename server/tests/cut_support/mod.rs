//! Backend servers whose answers are cut off, and callers that judge what they get.

#![allow(dead_code, reason = "each test file uses a part")]

pub mod backend;
pub mod caller;
pub mod form;
pub mod table;
