"""Pass requests to another entry instance while this one has no links to upstreams."""
