"""Choose engines for streams with knowledge of all dispatches of a service."""
