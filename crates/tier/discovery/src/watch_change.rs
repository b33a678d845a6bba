//! What an answer of a core machine has changed at an observer: the result of most steps of
//! [`Watcher`](crate::watcher::Watcher).

/// Which parts of the [`ControlSnapshot`](crate::ControlSnapshot) have changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WatchChange {
    /// The registered replicas.
    pub replicas: bool,
    /// The storage view.
    pub storage_view: bool,
    /// The addresses of the core machines. Not a machine's [`CoreStatus`](crate::messages::CoreStatus).
    pub core_machines: bool,
    /// The configuration.
    pub configuration: bool,
    /// Whether the process [has reached a current state](crate::watcher::Watcher::has_reached_current_state). Where a fetched
    /// configuration completes that state only `configuration` is set.
    pub has_current_state: bool,
}

impl WatchChange {
    /// Whether anything has changed.
    pub fn any(self) -> bool {
        self.replicas
            || self.storage_view
            || self.core_machines
            || self.configuration
            || self.has_current_state
    }
}
