//! What an operator does with a cluster: manifests, status, any other command.

use std::path::PathBuf;
use std::process::Output;

use serde_json::Value;
use snafu::ResultExt;

use crate::cluster::Cluster;
use crate::cluster_error::ClusterError;
use crate::cluster_error::CommandSnafu;
use crate::cluster_error::FileSnafu;
use crate::wait::wait_for;

impl Cluster {
    /// Writes a manifest to a file and submits it.
    ///
    /// # Errors
    ///
    /// Returns an error if it isn't accepted.
    pub fn submit(&self, manifest: &Value) -> Result<String, ClusterError> {
        let name = format!("manifest-{}.jsonc", manifest["version"]);
        self.submit_text(&name, &format!("// A manifest.\n{manifest:#}\n"))
    }

    /// Writes a manifest's text to a file and submits it.
    ///
    /// # Errors
    ///
    /// Returns an error if it isn't accepted.
    pub fn submit_text(&self, name: &str, text: &str) -> Result<String, ClusterError> {
        let path = self.write_file(name, text)?;
        let control = self.control_argument();
        let shown = path.display().to_string();
        self.operate(&["manifest", "submit", "--control", &control, &shown])
    }

    /// Writes a file into the test's folder.
    ///
    /// # Errors
    ///
    /// Returns an error if it can't be written.
    pub fn write_file(&self, name: &str, text: &str) -> Result<PathBuf, ClusterError> {
        let path = self.folder.path().join(name);
        std::fs::write(&path, text).context(FileSnafu { path: &path })?;
        Ok(path)
    }

    /// Returns the control replicas' addresses as one argument.
    #[must_use]
    pub fn control_argument(&self) -> String {
        let addresses = self.control_addresses();
        let addresses: Vec<_> = addresses.iter().map(ToString::to_string).collect();
        addresses.join(",")
    }

    /// Runs a command of an operator to its end and returns what it printed.
    ///
    /// # Errors
    ///
    /// Returns an error if the command fails.
    pub fn operate(&self, arguments: &[&str]) -> Result<String, ClusterError> {
        let output = self.operate_raw(arguments)?;
        let printed = String::from_utf8_lossy(&output.stdout).into_owned();
        if output.status.success() {
            return Ok(printed);
        }
        let errors = String::from_utf8_lossy(&output.stderr);
        CommandSnafu {
            arguments: arguments.join(" "),
            status: output.status.to_string(),
            output: format!("{printed}{errors}"),
        }
        .fail()
    }

    /// Runs a command of an operator to its end.
    ///
    /// # Errors
    ///
    /// Returns an error if the command can't be started.
    pub fn operate_raw(&self, arguments: &[&str]) -> Result<Output, ClusterError> {
        let command = std::process::Command::new(&self.binary)
            .args(arguments)
            .output();
        command.context(FileSnafu { path: &self.binary })
    }

    /// Returns what `status` says, read from its JSON.
    ///
    /// # Errors
    ///
    /// Returns an error if the command fails.
    pub fn status(&self) -> Result<Value, ClusterError> {
        let control = self.control_argument();
        let printed = self.operate(&["status", "--control", &control, "--output", "json"])?;
        Ok(serde_json::from_str(&printed).unwrap_or(Value::Null))
    }

    /// Polls `status` until it satisfies `condition`.
    ///
    /// # Errors
    ///
    /// Returns an error if it never does.
    pub async fn wait_for_status(
        &self,
        what: &str,
        condition: impl Fn(&Value) -> bool,
    ) -> Result<Value, ClusterError> {
        let status = wait_for(what, async || {
            self.status().ok().filter(|status| condition(status))
        });
        Ok(status.await?)
    }

    /// Waits until so many entry VMs have sessions.
    ///
    /// # Errors
    ///
    /// Returns an error if they never do.
    pub async fn wait_for_sessions(&self, count: usize) -> Result<Value, ClusterError> {
        self.wait_for_status("sessions of all entry VMs", |status| {
            list(status, "entries").len() >= count
        })
        .await
    }
}

/// Returns a list in a status report; nothing if there is none.
#[must_use]
pub fn list<'v>(status: &'v Value, member: &str) -> &'v [Value] {
    status[member].as_array().map_or(&[], Vec::as_slice)
}

pub(crate) fn count_voters(status: &Value) -> usize {
    let replicas = list(status, "replicas").iter();
    replicas.filter(|replica| replica["voter"] == true).count()
}
