"""Run the control process, which replicates and serves the agreed state."""
