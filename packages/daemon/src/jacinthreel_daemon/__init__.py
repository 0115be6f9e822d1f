"""The `jacinthreeld` daemon: the router and scheduler processes."""
