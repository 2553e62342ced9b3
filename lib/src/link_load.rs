//! Load of an entry VM's own network link, as its scheduler publishes it.

/// Load of a link over the last second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkLoad {
    /// Share of the link's rate that the busier direction carried; 0 if the rate is not known.
    pub used: f64,
    /// Time that the bytes which wait for the link take to be carried, in seconds.
    pub backlog: f64,
}
