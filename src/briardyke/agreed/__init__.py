"""Define the replicated state of the control group and the commands that change it."""
