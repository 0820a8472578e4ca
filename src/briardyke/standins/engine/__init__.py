"""Stand in for a model engine with finite speed and counted accelerator memory."""
