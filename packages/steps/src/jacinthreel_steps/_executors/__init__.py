"""What is known of executors: health, speed, and the ones that are about to shut down."""
