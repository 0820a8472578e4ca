"""Let operators read and change the agreed state from the command line."""
