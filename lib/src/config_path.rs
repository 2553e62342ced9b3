//! Paths to values in settings and manifests.

/// One step from a value to a value inside it.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Step {
    /// To the value of a field, or of a key of a map.
    Field(String),
    /// To an element of a list, counted from 0.
    Item(usize),
}

/// Refers to a value, or to the key of a map, by the steps from the root to it.
#[derive(Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ConfigPath {
    steps: Vec<Step>,
    names_key: bool,
}

impl ConfigPath {
    /// Refers to the whole text.
    #[must_use]
    pub fn root() -> Self {
        Self::default()
    }

    /// Extends the path by a field.
    #[must_use]
    pub fn field(&self, name: impl Into<String>) -> Self {
        self.extended(Step::Field(name.into()), false)
    }

    /// Extends the path by a key of a map, and refers to the key itself rather than its value.
    #[must_use]
    pub fn key(&self, name: impl Into<String>) -> Self {
        self.extended(Step::Field(name.into()), true)
    }

    /// Extends the path by an element of a list, counted from 0.
    #[must_use]
    pub fn item(&self, index: usize) -> Self {
        self.extended(Step::Item(index), false)
    }

    /// Returns the steps, the one from the root first.
    #[must_use]
    pub fn steps(&self) -> &[Step] {
        &self.steps
    }

    /// Returns whether the path refers to a key rather than its value.
    #[must_use]
    pub const fn names_key(&self) -> bool {
        self.names_key
    }

    fn extended(&self, step: Step, names_key: bool) -> Self {
        let mut steps = self.steps.clone();
        steps.push(step);
        Self { steps, names_key }
    }
}
