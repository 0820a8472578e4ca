"""Serve and call HTTP interfaces through hypercorn and httpcore."""
