"""The lifecycle of runs: starts, reports, ends and the stored progress."""
