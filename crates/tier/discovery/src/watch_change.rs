//! Result of applying an answer of a core machine to a [`Watcher`](crate::watcher::Watcher).

/// Which parts of the [`ControlSnapshot`](crate::ControlSnapshot) have changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WatchChange {
    /// Whether the registered replicas have changed.
    pub replicas: bool,
    /// Whether the storage view has changed.
    pub storage_view: bool,
    /// Whether the addresses of the core machines have changed. Not set for a change of a machine's
    /// [`CoreStatus`](crate::messages::CoreStatus).
    pub core_machines: bool,
    /// Whether the configuration has changed.
    pub configuration: bool,
    /// Whether the process [reached a current state](crate::watcher::Watcher::has_reached_current_state) in this step.
    /// Not set if a fetched configuration completed that state; then only `configuration` is set.
    pub reached_current_state: bool,
}

impl WatchChange {
    /// Whether anything has changed.
    pub fn any(self) -> bool {
        self.replicas
            || self.storage_view
            || self.core_machines
            || self.configuration
            || self.reached_current_state
    }
}
