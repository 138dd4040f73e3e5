"""The sidecar: it runs on each host and admits all requests to upstreams."""
