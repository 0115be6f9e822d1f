"""Job scheduling decisions: gangs, guarantees, placement, recovery."""
