"""Keep upstreams to the limits that they state, over all entry instances together."""
