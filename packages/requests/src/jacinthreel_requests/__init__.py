"""Request routing decisions: choice, queueing, retries, ejection."""
