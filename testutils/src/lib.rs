//! Stand-ins for what surrounds heatherring.
