"""Run an entry process: caller API, address responses, admission and relay."""
