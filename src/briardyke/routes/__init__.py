"""Map requests to services and describe the services."""
