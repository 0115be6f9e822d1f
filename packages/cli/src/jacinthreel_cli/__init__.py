"""The jacinthreel operator command line."""
