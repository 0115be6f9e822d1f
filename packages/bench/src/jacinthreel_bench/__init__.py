"""Load, measurement and capacity experiments."""
