"""Tell the loss of all links to upstreams from the failure of some of them."""
