//! Paths to values in settings and manifests.

/// Takes one step into a value.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Step {
    /// Into the value of a field, or of a map's key.
    Field(String),
    /// Into an element of a list, counted from 0.
    Item(usize),
}

/// Names a value by the steps from the root to it.
#[derive(Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ConfigPath {
    steps: Vec<Step>,
    names_key: bool,
}

impl ConfigPath {
    /// Names the root.
    #[must_use]
    pub fn root() -> Self {
        Self::default()
    }

    /// Names the value of a field of this value.
    #[must_use]
    pub fn field(&self, name: impl Into<String>) -> Self {
        self.stepped(Step::Field(name.into()), false)
    }

    /// Names a key of this map, rather than the value under it.
    #[must_use]
    pub fn key(&self, name: impl Into<String>) -> Self {
        self.stepped(Step::Field(name.into()), true)
    }

    /// Names an element of this list, counted from 0.
    #[must_use]
    pub fn item(&self, index: usize) -> Self {
        self.stepped(Step::Item(index), false)
    }

    /// Returns the steps from the root.
    #[must_use]
    pub fn steps(&self) -> &[Step] {
        &self.steps
    }

    /// Tells whether the path names a key rather than the value under it.
    #[must_use]
    pub const fn names_key(&self) -> bool {
        self.names_key
    }

    fn stepped(&self, step: Step, names_key: bool) -> Self {
        let mut steps = self.steps.clone();
        steps.push(step);
        Self { steps, names_key }
    }
}
