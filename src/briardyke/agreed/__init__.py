"""Hold the state that a majority of voters agrees on."""
