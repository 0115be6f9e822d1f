"""Scheduling passes: the order of jobs, placement, headroom, preemption and claims."""
