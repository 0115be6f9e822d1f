"""Relays: nodes that exchange messages with executors on behalf of the owner."""
