"""What each workspace uses: the sum of the shapes of all runs that are attached to tasks.

A run is attached from its placement or claim until it has certainly ended, so the usage covers
runs whose start or end is in doubt, runs on unreachable executors, runs that an earlier owner
placed, and runs of ended jobs.  Claims are counted apart, because they use no capacity yet.
"""

from __future__ import annotations

from jacinthreel_steps._model import NO_RESOURCES, Resources


class WorkspaceUsage:
    """The usage of all workspaces, changed with each run that is attached or released."""

    def __init__(self) -> None:
        self._running_by_workspace: dict[str, Resources] = {}
        self._claimed_by_workspace: dict[str, Resources] = {}

    def running(self, workspace: str) -> Resources:
        """Returns what the workspace's runs use or may use, without claims."""
        return self._running_by_workspace.get(workspace, NO_RESOURCES)

    def claimed(self, workspace: str) -> Resources:
        """Returns what the workspace's claims will use."""
        return self._claimed_by_workspace.get(workspace, NO_RESOURCES)

    def total(self, workspace: str) -> Resources:
        """Returns what the workspace's runs and claims use."""
        return self.running(workspace).plus(self.claimed(workspace))

    def workspaces(self) -> set[str]:
        """Returns the workspaces that have runs or claims."""
        return self._running_by_workspace.keys() | self._claimed_by_workspace.keys()

    def add(self, workspace: str, shape: Resources, is_claim: bool) -> None:
        """Adds a run or a claim."""
        usage = self._usage_by_workspace(is_claim)
        usage[workspace] = usage.get(workspace, NO_RESOURCES).plus(shape)

    def remove(self, workspace: str, shape: Resources, is_claim: bool) -> None:
        """Removes a run or a claim that was added."""
        usage = self._usage_by_workspace(is_claim)
        left = usage.get(workspace, NO_RESOURCES).minus(shape)
        if left == NO_RESOURCES:
            usage.pop(workspace, None)
        else:
            usage[workspace] = left

    def turn_into_run(self, workspace: str, shape: Resources) -> None:
        """Counts a claim as a run."""
        self.remove(workspace, shape, is_claim=True)
        self.add(workspace, shape, is_claim=False)

    def _usage_by_workspace(self, is_claim: bool) -> dict[str, Resources]:
        return self._claimed_by_workspace if is_claim else self._running_by_workspace
