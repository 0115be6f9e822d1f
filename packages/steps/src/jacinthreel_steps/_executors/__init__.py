"""The state of executors: health, speed, and runs on those that are about to shut down."""
