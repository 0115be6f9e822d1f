"""Quotas and weighted shares of workspaces."""
