"""Benchmarks of the decision logic of the older roles against baselines."""
