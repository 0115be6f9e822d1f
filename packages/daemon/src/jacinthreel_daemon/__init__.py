"""The jacinthreeld processes: router and scheduler roles."""
