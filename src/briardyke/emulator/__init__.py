"""Emulate a fleet in virtual time, with the decision code of the product."""
