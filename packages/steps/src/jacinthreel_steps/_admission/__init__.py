"""Admission under overload: forecasts of starts, and refusals of jobs that can't be in time."""
