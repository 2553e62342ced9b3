//! The heatherring command.

fn main() {}
